#ifndef BLUEBELLKEEL_SCALE_H
#define BLUEBELLKEEL_SCALE_H

#include "bluebellkeel/Scale/AlwaysMaximumCount.h"
#include "bluebellkeel/Scale/AlwaysMinimumCount.h"
#include "bluebellkeel/Scale/CentreUpstreams.h"
#include "bluebellkeel/Scale/KnownWork.h"
#include "bluebellkeel/Scale/ScaleInput.h"
#include "bluebellkeel/Scale/ScaleObservation.h"
#include "bluebellkeel/Scale/ScaleOrder.h"
#include "bluebellkeel/Scale/ScalePlanner.h"
#include "bluebellkeel/Scale/ScaleQuery.h"
#include "bluebellkeel/Scale/ScaleReason.h"
#include "bluebellkeel/Scale/SentOrder.h"
#include "bluebellkeel/Scale/ServiceWork.h"
#include "bluebellkeel/Scale/UpstreamCountPolicy.h"
#include "bluebellkeel/Scale/WorkCollector.h"
#include "bluebellkeel/Scale/WorkFollowingCount.h"
#include "bluebellkeel/Scale/WorkHistory.h"
#include "bluebellkeel/Scale/WorkTotal.h"

#endif // BLUEBELLKEEL_SCALE_H
