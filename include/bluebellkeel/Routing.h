#ifndef BLUEBELLKEEL_ROUTING_H
#define BLUEBELLKEEL_ROUTING_H

#include "bluebellkeel/Routing/CallerLimits.h"
#include "bluebellkeel/Routing/ForwardRoute.h"
#include "bluebellkeel/Routing/KeyedAccount.h"
#include "bluebellkeel/Routing/ModelSize.h"
#include "bluebellkeel/Routing/RouteKind.h"
#include "bluebellkeel/Routing/RouteTable.h"
#include "bluebellkeel/Routing/RouteTableHolder.h"
#include "bluebellkeel/Routing/ServiceTraits.h"
#include "bluebellkeel/Routing/WeightedService.h"

#endif // BLUEBELLKEEL_ROUTING_H
