#ifndef BLUEBELLKEEL_STARTUP_H
#define BLUEBELLKEEL_STARTUP_H

#include "bluebellkeel/Startup/FileWatch.h"
#include "bluebellkeel/Startup/GatewaySettings.h"
#include "bluebellkeel/Startup/GatewaySettingsReader.h"
#include "bluebellkeel/Startup/PlatformAddresses.h"
#include "bluebellkeel/Startup/ReloadableSettings.h"
#include "bluebellkeel/Startup/SettingsFile.h"
#include "bluebellkeel/Startup/StartupLimits.h"
#include "bluebellkeel/Startup/StartupReader.h"
#include "bluebellkeel/Startup/StartupSettings.h"
#include "bluebellkeel/Startup/TeamKey.h"

#endif // BLUEBELLKEEL_STARTUP_H
