#ifndef BLUEBELLKEEL_GATEWAY_H
#define BLUEBELLKEEL_GATEWAY_H

#include "bluebellkeel/Gateway/GatewayContext.h"
#include "bluebellkeel/Gateway/GatewayRuntime.h"
#include "bluebellkeel/Gateway/GatewayState.h"
#include "bluebellkeel/Gateway/GlibcHeap.h"
#include "bluebellkeel/Gateway/HeavyLoadNotifier.h"
#include "bluebellkeel/Gateway/ListenerShares.h"
#include "bluebellkeel/Gateway/MemoryMonitor.h"
#include "bluebellkeel/Gateway/PlatformLogProvider.h"
#include "bluebellkeel/Gateway/ProcessHeap.h"
#include "bluebellkeel/Gateway/ResidentMemory.h"
#include "bluebellkeel/Gateway/StatmResidentMemory.h"
#include "bluebellkeel/Gateway/StopSchedule.h"
#include "bluebellkeel/Gateway/StopSequence.h"

#endif // BLUEBELLKEEL_GATEWAY_H
