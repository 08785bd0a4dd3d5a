#ifndef BLUEBELLKEEL_JOURNAL_KEYEDRECORD_H
#define BLUEBELLKEEL_JOURNAL_KEYEDRECORD_H

#include "bluebellkeel/Core/Comparable.h"
#include "bluebellkeel/Core/LogPosition.h"
#include <string>
#include <tuple>

namespace bluebellkeel {

/// A record that replaces earlier records of its key.
class keyed_record : public comparable<keyed_record> {
public:
  keyed_record(std::string Key, std::string Value, log_position Position)
      : Key(std::move(Key)), Value(std::move(Value)), Position(Position) {}

  const std::string &name() const { return Key; }
  /// Empty if the key was deleted.
  const std::string &value() const { return Value; }
  bool isDeleted() const { return Value.empty(); }
  log_position position() const { return Position; }
  auto key() const { return std::tie(Key, Value, Position); }

private:
  std::string Key;
  std::string Value;
  log_position Position;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_JOURNAL_KEYEDRECORD_H
