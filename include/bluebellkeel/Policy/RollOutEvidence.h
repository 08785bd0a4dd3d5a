#ifndef BLUEBELLKEEL_POLICY_ROLLOUTEVIDENCE_H
#define BLUEBELLKEEL_POLICY_ROLLOUTEVIDENCE_H

#include "bluebellkeel/Policy/RollOutOrder.h"
#include "bluebellkeel/Policy/RollOutStage.h"
#include "bluebellkeel/Policy/VersionStats.h"
#include <tuple>

namespace bluebellkeel {

/// An instance's state of a roll-out and its statistics, as sent to peers.
class roll_out_evidence : public comparable<roll_out_evidence> {
public:
  /// Constructor arguments of roll_out_evidence.
  struct fields {
    roll_out_order Order;
    milliseconds Elapsed{0};
    roll_out_stage Stage = roll_out_stage::Running;
    /// True if the current stage was published to the operators.
    bool Published = false;
    version_stats Target;
    version_stats Others;
  };

  explicit roll_out_evidence(fields Fields) : Content(std::move(Fields)) {}

  const roll_out_order &order() const { return Content.Order; }
  /// Time since the start of the roll-out.
  milliseconds elapsed() const { return Content.Elapsed; }
  roll_out_stage stage() const { return Content.Stage; }
  /// True if the current stage was published to the operators.
  bool published() const { return Content.Published; }
  const version_stats &target() const { return Content.Target; }
  const version_stats &others() const { return Content.Others; }
  auto key() const {
    return std::tie(Content.Order, Content.Elapsed, Content.Stage,
                    Content.Published, Content.Target, Content.Others);
  }

private:
  fields Content;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_ROLLOUTEVIDENCE_H
