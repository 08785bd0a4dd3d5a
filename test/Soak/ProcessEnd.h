#ifndef TEST_SOAK_PROCESSEND_H
#define TEST_SOAK_PROCESSEND_H

#include "bluebellkeel/Core/Comparable.h"
#include "bluebellkeel/Core/Time.h"
#include <tuple>

namespace bluebellkeel {

/// How a gateway that was asked to stop did so.
class process_end : public comparable<process_end> {
public:
  process_end(int Gateway, milliseconds Asked, milliseconds Ended, int Code)
      : Gateway(Gateway), Asked(Asked), Ended(Ended), Code(Code) {}

  int gateway() const { return Gateway; }
  /// From the start of the run.
  milliseconds asked() const { return Asked; }
  milliseconds ended() const { return Ended; }
  /// -1 after a signal.
  int code() const { return Code; }
  auto key() const { return std::tie(Gateway, Asked, Ended, Code); }

private:
  int Gateway;
  milliseconds Asked;
  milliseconds Ended;
  int Code;
};

} // namespace bluebellkeel

#endif // TEST_SOAK_PROCESSEND_H
