#ifndef BLUEBELLKEEL_FRONTEND_H
#define BLUEBELLKEEL_FRONTEND_H

#include "bluebellkeel/Frontend/FrontendContext.h"
#include "bluebellkeel/Frontend/FrontendHandler.h"
#include "bluebellkeel/Frontend/GrantWaker.h"
#include "bluebellkeel/Frontend/InstanceStatus.h"
#include "bluebellkeel/Frontend/ResponseSampler.h"

#endif // BLUEBELLKEEL_FRONTEND_H
