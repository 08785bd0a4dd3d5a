#ifndef BLUEBELLKEEL_HTTP_H
#define BLUEBELLKEEL_HTTP_H

#include "bluebellkeel/Http/CloseConnections.h"
#include "bluebellkeel/Http/FixedLimits.h"
#include "bluebellkeel/Http/HttpClient.h"
#include "bluebellkeel/Http/HttpError.h"
#include "bluebellkeel/Http/HttpHandler.h"
#include "bluebellkeel/Http/HttpHeaders.h"
#include "bluebellkeel/Http/HttpLimitSource.h"
#include "bluebellkeel/Http/HttpLimits.h"
#include "bluebellkeel/Http/HttpRequest.h"
#include "bluebellkeel/Http/HttpResponder.h"
#include "bluebellkeel/Http/HttpResponse.h"
#include "bluebellkeel/Http/HttpServer.h"
#include "bluebellkeel/Http/HttpTimeouts.h"
#include "bluebellkeel/Http/PercentEncoding.h"
#include "bluebellkeel/Http/StatusClass.h"
#include "bluebellkeel/Http/StoppableServer.h"
#include "bluebellkeel/Http/ThreadPool.h"

#endif // BLUEBELLKEEL_HTTP_H
