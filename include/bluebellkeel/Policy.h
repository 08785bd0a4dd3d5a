#ifndef BLUEBELLKEEL_POLICY_H
#define BLUEBELLKEEL_POLICY_H

#include "bluebellkeel/Policy/AffinityChooser.h"
#include "bluebellkeel/Policy/AlwaysBestPlanner.h"
#include "bluebellkeel/Policy/AlwaysCheapestPlanner.h"
#include "bluebellkeel/Policy/CheapestAtTargetPlanner.h"
#include "bluebellkeel/Policy/CrashBook.h"
#include "bluebellkeel/Policy/Fingerprint.h"
#include "bluebellkeel/Policy/LeastRequestsChooser.h"
#include "bluebellkeel/Policy/PlanError.h"
#include "bluebellkeel/Policy/PlanStep.h"
#include "bluebellkeel/Policy/QualityBook.h"
#include "bluebellkeel/Policy/QualityCounts.h"
#include "bluebellkeel/Policy/QualityEstimate.h"
#include "bluebellkeel/Policy/QualityTest.h"
#include "bluebellkeel/Policy/RollOutGate.h"
#include "bluebellkeel/Policy/RoundRobinChooser.h"
#include "bluebellkeel/Policy/RoundRobinPlanner.h"
#include "bluebellkeel/Policy/RouteQuery.h"
#include "bluebellkeel/Policy/Session.h"
#include "bluebellkeel/Policy/SessionOffice.h"
#include "bluebellkeel/Policy/UpstreamCandidate.h"
#include "bluebellkeel/Policy/UpstreamChooser.h"
#include "bluebellkeel/Policy/VersionEligibility.h"
#include "bluebellkeel/Policy/VersionPlan.h"
#include "bluebellkeel/Policy/VersionPlanner.h"

#endif // BLUEBELLKEEL_POLICY_H
