#ifndef BLUEBELLKEEL_TELEMETRY_H
#define BLUEBELLKEEL_TELEMETRY_H

#include "bluebellkeel/Telemetry/EventWriter.h"
#include "bluebellkeel/Telemetry/LogPart.h"
#include "bluebellkeel/Telemetry/LogSetup.h"
#include "bluebellkeel/Telemetry/Metrics.h"
#include "bluebellkeel/Telemetry/PeerCounter.h"

#endif // BLUEBELLKEEL_TELEMETRY_H
