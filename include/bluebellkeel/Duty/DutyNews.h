#ifndef BLUEBELLKEEL_DUTY_DUTYNEWS_H
#define BLUEBELLKEEL_DUTY_DUTYNEWS_H

#include "bluebellkeel/Core/GuardedValue.h"
#include "bluebellkeel/Duty/DutyProgress.h"

namespace bluebellkeel {

/// The newest progress of the duties that this instance has heard of.
/// Thread-safe.
class duty_news {
public:
  /// Keeps \p Progress if it is newer than what is known.
  void note(const duty_progress &Progress);
  duty_progress newest() const { return Newest.get(); }

private:
  guarded_value<duty_progress> Newest{duty_progress()};
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_DUTY_DUTYNEWS_H
