#ifndef BLUEBELLKEEL_PLATFORM_H
#define BLUEBELLKEEL_PLATFORM_H

#include "bluebellkeel/Platform/AppendMonitor.h"
#include "bluebellkeel/Platform/HttpLog.h"
#include "bluebellkeel/Platform/PlatformError.h"
#include "bluebellkeel/Platform/PlatformList.h"
#include "bluebellkeel/Platform/PlatformListReader.h"
#include "bluebellkeel/Platform/PlatformListText.h"
#include "bluebellkeel/Platform/RaterClient.h"
#include "bluebellkeel/Platform/Rating.h"

#endif // BLUEBELLKEEL_PLATFORM_H
