#ifndef BLUEBELLKEEL_MEMBERSHIP_H
#define BLUEBELLKEEL_MEMBERSHIP_H

#include "bluebellkeel/Membership/AddressSelection.h"
#include "bluebellkeel/Membership/AddressSelector.h"
#include "bluebellkeel/Membership/ClosedDataCentres.h"
#include "bluebellkeel/Membership/CollectorElection.h"
#include "bluebellkeel/Membership/FreshnessEvaluator.h"
#include "bluebellkeel/Membership/FreshnessRules.h"
#include "bluebellkeel/Membership/Heartbeat.h"
#include "bluebellkeel/Membership/InstanceDirectory.h"
#include "bluebellkeel/Membership/InstanceRecord.h"
#include "bluebellkeel/Membership/InstanceState.h"
#include "bluebellkeel/Membership/LiveInstances.h"
#include "bluebellkeel/Membership/LivenessReport.h"
#include "bluebellkeel/Membership/NearestAddressSelector.h"
#include "bluebellkeel/Membership/Ownership.h"
#include "bluebellkeel/Membership/PeerSampler.h"
#include "bluebellkeel/Membership/PeerSelector.h"
#include "bluebellkeel/Membership/PeerStatus.h"
#include "bluebellkeel/Membership/PeerTable.h"
#include "bluebellkeel/Membership/ReaderElection.h"
#include "bluebellkeel/Membership/SenderGroup.h"
#include "bluebellkeel/Membership/ServingPhase.h"
#include "bluebellkeel/Membership/ServingVerdict.h"
#include "bluebellkeel/Membership/SettingsPosition.h"

#endif // BLUEBELLKEEL_MEMBERSHIP_H
