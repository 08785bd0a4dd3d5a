#ifndef BLUEBELLKEEL_FRONTEND_H
#define BLUEBELLKEEL_FRONTEND_H

#include "bluebellkeel/Frontend/AnswerSampler.h"
#include "bluebellkeel/Frontend/FrontendHandler.h"
#include "bluebellkeel/Frontend/FrontendParts.h"
#include "bluebellkeel/Frontend/GrantWaker.h"
#include "bluebellkeel/Frontend/InstanceFacts.h"

#endif // BLUEBELLKEEL_FRONTEND_H
