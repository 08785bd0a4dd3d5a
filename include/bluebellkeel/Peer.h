#ifndef BLUEBELLKEEL_PEER_H
#define BLUEBELLKEEL_PEER_H

#include "bluebellkeel/Peer/BillCopy.h"
#include "bluebellkeel/Peer/BillCopyAck.h"
#include "bluebellkeel/Peer/CrashNotice.h"
#include "bluebellkeel/Peer/GrantAsk.h"
#include "bluebellkeel/Peer/GrantReply.h"
#include "bluebellkeel/Peer/HeartbeatAnswer.h"
#include "bluebellkeel/Peer/HeartbeatQuery.h"
#include "bluebellkeel/Peer/InstanceDigest.h"
#include "bluebellkeel/Peer/LoadBatch.h"
#include "bluebellkeel/Peer/PeerBody.h"
#include "bluebellkeel/Peer/PeerCodec.h"
#include "bluebellkeel/Peer/PeerEnvelope.h"
#include "bluebellkeel/Peer/PeerError.h"
#include "bluebellkeel/Peer/PeerLink.h"
#include "bluebellkeel/Peer/PeerMonitor.h"
#include "bluebellkeel/Peer/PeerResponder.h"
#include "bluebellkeel/Peer/StateAnswer.h"
#include "bluebellkeel/Peer/StateQuery.h"
#include "bluebellkeel/Peer/ViewAnswer.h"
#include "bluebellkeel/Peer/ViewListener.h"
#include "bluebellkeel/Peer/ViewQuery.h"
#include "bluebellkeel/Peer/ViewState.h"
#include "bluebellkeel/Peer/ViewSynchronizer.h"
#include "bluebellkeel/Peer/WebsocketPeerLink.h"

#endif // BLUEBELLKEEL_PEER_H
