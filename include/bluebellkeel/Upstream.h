#ifndef BLUEBELLKEEL_UPSTREAM_H
#define BLUEBELLKEEL_UPSTREAM_H

#include "bluebellkeel/Upstream/AdmissionQueue.h"
#include "bluebellkeel/Upstream/Grant.h"
#include "bluebellkeel/Upstream/GrantBook.h"
#include "bluebellkeel/Upstream/GrantIssuer.h"
#include "bluebellkeel/Upstream/GrantRequest.h"
#include "bluebellkeel/Upstream/GrantRules.h"
#include "bluebellkeel/Upstream/HealthBook.h"
#include "bluebellkeel/Upstream/LoadReport.h"
#include "bluebellkeel/Upstream/LoadShare.h"
#include "bluebellkeel/Upstream/PoolId.h"
#include "bluebellkeel/Upstream/UpstreamDirectory.h"
#include "bluebellkeel/Upstream/UpstreamKind.h"
#include "bluebellkeel/Upstream/UpstreamLifecycle.h"
#include "bluebellkeel/Upstream/UpstreamList.h"
#include "bluebellkeel/Upstream/UpstreamPhase.h"
#include "bluebellkeel/Upstream/UpstreamRecord.h"
#include "bluebellkeel/Upstream/UpstreamSlot.h"

#endif // BLUEBELLKEEL_UPSTREAM_H
