#ifndef BLUEBELLKEEL_TELEMETRY_H
#define BLUEBELLKEEL_TELEMETRY_H

#include "bluebellkeel/Telemetry/ComponentLogger.h"
#include "bluebellkeel/Telemetry/EventWriter.h"
#include "bluebellkeel/Telemetry/LogSetup.h"
#include "bluebellkeel/Telemetry/Metrics.h"
#include "bluebellkeel/Telemetry/MetricsPeerMonitor.h"

#endif // BLUEBELLKEEL_TELEMETRY_H
