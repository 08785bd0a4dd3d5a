#ifndef BLUEBELLKEEL_JOURNAL_H
#define BLUEBELLKEEL_JOURNAL_H

#include "bluebellkeel/Journal/AppendBudget.h"
#include "bluebellkeel/Journal/AppendPacer.h"
#include "bluebellkeel/Journal/BatchQueue.h"
#include "bluebellkeel/Journal/Bill.h"
#include "bluebellkeel/Journal/BillGateway.h"
#include "bluebellkeel/Journal/BillLedger.h"
#include "bluebellkeel/Journal/BillMirror.h"
#include "bluebellkeel/Journal/ClaimCoordinator.h"
#include "bluebellkeel/Journal/ClaimEntry.h"
#include "bluebellkeel/Journal/ClaimGateway.h"
#include "bluebellkeel/Journal/ClaimLedger.h"
#include "bluebellkeel/Journal/ClaimVerdict.h"
#include "bluebellkeel/Journal/JournalError.h"
#include "bluebellkeel/Journal/LogPage.h"
#include "bluebellkeel/Journal/LogRecord.h"
#include "bluebellkeel/Journal/RecordLog.h"
#include "bluebellkeel/Journal/RecordedOutcome.h"
#include "bluebellkeel/Journal/SettingsFollower.h"
#include "bluebellkeel/Journal/SettingsLog.h"
#include "bluebellkeel/Journal/SettingsPublisher.h"
#include "bluebellkeel/Journal/SettingsRecord.h"
#include "bluebellkeel/Journal/Ticket.h"
#include "bluebellkeel/Journal/TicketOffice.h"

#endif // BLUEBELLKEEL_JOURNAL_H
