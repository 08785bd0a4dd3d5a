#ifndef BLUEBELLKEEL_JOURNAL_KEYEDLISTENER_H
#define BLUEBELLKEEL_JOURNAL_KEYEDLISTENER_H

#include "bluebellkeel/Journal/KeyedRecord.h"

namespace bluebellkeel {

/// Receives each record that is newer than the known record of its key.
class keyed_listener {
public:
  virtual ~keyed_listener() = default;

  virtual void onRecordChanged(const keyed_record &Record) = 0;
  /// True if the values of \p Key themselves tell which record is newer, so
  /// that an old one that a restored log brings back does no harm.
  virtual bool ordersByValue(const std::string &Key) const = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_JOURNAL_KEYEDLISTENER_H
