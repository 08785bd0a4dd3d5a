#ifndef BLUEBELLKEEL_SETTINGS_H
#define BLUEBELLKEEL_SETTINGS_H

#include "bluebellkeel/Settings/AccountSettings.h"
#include "bluebellkeel/Settings/ChangeOutcome.h"
#include "bluebellkeel/Settings/RoutingSettings.h"
#include "bluebellkeel/Settings/ServiceOperation.h"
#include "bluebellkeel/Settings/SettingEdit.h"
#include "bluebellkeel/Settings/SettingRule.h"
#include "bluebellkeel/Settings/SettingValue.h"
#include "bluebellkeel/Settings/SettingsChange.h"
#include "bluebellkeel/Settings/SettingsError.h"
#include "bluebellkeel/Settings/SettingsPath.h"
#include "bluebellkeel/Settings/SettingsSchema.h"
#include "bluebellkeel/Settings/SettingsSnapshot.h"
#include "bluebellkeel/Settings/SettingsState.h"
#include "bluebellkeel/Settings/SettingsStateMachine.h"
#include "bluebellkeel/Settings/SettingsStore.h"
#include "bluebellkeel/Settings/SubtreeRevision.h"
#include "bluebellkeel/Settings/VersionSettings.h"
#include "bluebellkeel/Settings/VersionStage.h"

#endif // BLUEBELLKEEL_SETTINGS_H
