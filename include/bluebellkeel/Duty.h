#ifndef BLUEBELLKEEL_DUTY_H
#define BLUEBELLKEEL_DUTY_H

#include "bluebellkeel/Duty/DutyKeeper.h"
#include "bluebellkeel/Duty/DutyNews.h"
#include "bluebellkeel/Duty/DutyOutcome.h"
#include "bluebellkeel/Duty/DutyPage.h"
#include "bluebellkeel/Duty/DutyPlatform.h"
#include "bluebellkeel/Duty/DutyProgress.h"
#include "bluebellkeel/Duty/DutyRecord.h"
#include "bluebellkeel/Duty/DutyStore.h"
#include "bluebellkeel/Duty/DutyTimes.h"
#include "bluebellkeel/Duty/RecordedReport.h"
#include "bluebellkeel/Duty/UsageCollector.h"
#include "bluebellkeel/Duty/UsageCounter.h"
#include "bluebellkeel/Duty/UsageListener.h"
#include "bluebellkeel/Duty/UsageReport.h"

#endif // BLUEBELLKEEL_DUTY_H
