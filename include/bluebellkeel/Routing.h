#ifndef BLUEBELLKEEL_ROUTING_H
#define BLUEBELLKEEL_ROUTING_H

#include "bluebellkeel/Routing/ApiKeyAccount.h"
#include "bluebellkeel/Routing/ApiKeyPolicy.h"
#include "bluebellkeel/Routing/CallerLimits.h"
#include "bluebellkeel/Routing/ForwardRoute.h"
#include "bluebellkeel/Routing/PricedModel.h"
#include "bluebellkeel/Routing/RouteKind.h"
#include "bluebellkeel/Routing/RouteTable.h"
#include "bluebellkeel/Routing/RouteTableHolder.h"
#include "bluebellkeel/Routing/ScalingLimits.h"
#include "bluebellkeel/Routing/ServiceConfig.h"
#include "bluebellkeel/Routing/WeightedService.h"

#endif // BLUEBELLKEEL_ROUTING_H
