#ifndef BLUEBELLKEEL_DUTY_DUTYPROGRESS_H
#define BLUEBELLKEEL_DUTY_DUTYPROGRESS_H

#include "bluebellkeel/Core/Comparable.h"
#include "bluebellkeel/Core/InstanceId.h"
#include <cstdint>
#include <tuple>

namespace bluebellkeel {

/// How far the duties have got, as an instance knows it.
class duty_progress : public comparable<duty_progress> {
public:
  duty_progress() = default;
  duty_progress(std::uint64_t Token, std::uint64_t NewestWindow,
                instance_id Holder)
      : Token(Token), NewestWindow(NewestWindow), Holder(std::move(Holder)) {}

  /// Fence token of the term; 0 if none is known.
  std::uint64_t token() const { return Token; }
  /// Newest window whose report is recorded; 0 if none is.
  std::uint64_t newestWindow() const { return NewestWindow; }
  /// The instance that holds the duties; empty if it has released them.
  const instance_id &holder() const { return Holder; }
  auto key() const { return std::tie(Token, NewestWindow, Holder); }

private:
  std::uint64_t Token = 0;
  std::uint64_t NewestWindow = 0;
  instance_id Holder;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_DUTY_DUTYPROGRESS_H
