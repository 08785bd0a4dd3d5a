#ifndef BLUEBELLKEEL_CORE_H
#define BLUEBELLKEEL_CORE_H

#include "bluebellkeel/Core/AccountId.h"
#include "bluebellkeel/Core/Comparable.h"
#include "bluebellkeel/Core/DataCentreId.h"
#include "bluebellkeel/Core/EventLine.h"
#include "bluebellkeel/Core/EventLog.h"
#include "bluebellkeel/Core/GuardedValue.h"
#include "bluebellkeel/Core/HmacSigner.h"
#include "bluebellkeel/Core/Identifier.h"
#include "bluebellkeel/Core/InstanceId.h"
#include "bluebellkeel/Core/LogOffset.h"
#include "bluebellkeel/Core/NetworkAddress.h"
#include "bluebellkeel/Core/RandomSource.h"
#include "bluebellkeel/Core/RequestId.h"
#include "bluebellkeel/Core/ServiceId.h"
#include "bluebellkeel/Core/Sharded.h"
#include "bluebellkeel/Core/Signer.h"
#include "bluebellkeel/Core/StableHash.h"
#include "bluebellkeel/Core/SystemClock.h"
#include "bluebellkeel/Core/SystemRandom.h"
#include "bluebellkeel/Core/TeamId.h"
#include "bluebellkeel/Core/Time.h"
#include "bluebellkeel/Core/TimeSource.h"
#include "bluebellkeel/Core/UpstreamId.h"
#include "bluebellkeel/Core/VersionId.h"

#endif // BLUEBELLKEEL_CORE_H
