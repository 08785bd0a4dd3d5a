#ifndef BLUEBELLKEEL_GATEWAY_H
#define BLUEBELLKEEL_GATEWAY_H

#include "bluebellkeel/Gateway/GatewayParts.h"
#include "bluebellkeel/Gateway/GatewayRuntime.h"
#include "bluebellkeel/Gateway/GatewayState.h"
#include "bluebellkeel/Gateway/HeavyLoadSignal.h"
#include "bluebellkeel/Gateway/PlatformAccess.h"

#endif // BLUEBELLKEEL_GATEWAY_H
