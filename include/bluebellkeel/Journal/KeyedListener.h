#ifndef BLUEBELLKEEL_JOURNAL_KEYEDLISTENER_H
#define BLUEBELLKEEL_JOURNAL_KEYEDLISTENER_H

#include "bluebellkeel/Journal/KeyedRecord.h"

namespace bluebellkeel {

/// Is told of each record that is newer than the one known of its key.
class keyed_listener {
public:
  virtual ~keyed_listener() = default;

  virtual void onRecordChanged(const keyed_record &Record) = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_JOURNAL_KEYEDLISTENER_H
