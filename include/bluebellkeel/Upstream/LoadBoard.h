#ifndef BLUEBELLKEEL_UPSTREAM_LOADBOARD_H
#define BLUEBELLKEEL_UPSTREAM_LOADBOARD_H

#include "bluebellkeel/Upstream/InstanceLoad.h"
#include "bluebellkeel/Upstream/UpstreamReport.h"
#include <vector>

namespace bluebellkeel {

/// The loads of all contributing instances on all upstreams, as a collector
/// knows them, and the latest reports of the upstreams.
class load_board : public comparable<load_board> {
public:
  load_board() = default;
  load_board(std::uint64_t IncludedNumber, std::uint64_t Contributors,
             std::vector<instance_load> Totals,
             std::vector<upstream_report> Reports)
      : IncludedNumber(IncludedNumber), Contributors(Contributors),
        Totals(std::move(Totals)), Reports(std::move(Reports)) {}

  /// Number of the recipient's contribution in the totals; 0 if they contain
  /// none.
  std::uint64_t includedNumber() const { return IncludedNumber; }
  /// Number of instances whose loads the totals contain.
  std::uint64_t contributors() const { return Contributors; }
  /// The sum over all contributors, for each upstream with any load.
  const std::vector<instance_load> &totals() const { return Totals; }
  const std::vector<upstream_report> &reports() const { return Reports; }
  /// Returns the same board for the recipient whose contribution \p Number is
  /// included.
  load_board including(std::uint64_t Number) const {
    return load_board(Number, Contributors, Totals, Reports);
  }
  auto key() const {
    return std::tie(IncludedNumber, Contributors, Totals, Reports);
  }

private:
  std::uint64_t IncludedNumber = 0;
  std::uint64_t Contributors = 0;
  std::vector<instance_load> Totals;
  std::vector<upstream_report> Reports;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_UPSTREAM_LOADBOARD_H
