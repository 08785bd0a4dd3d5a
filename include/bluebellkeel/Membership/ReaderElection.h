#ifndef BLUEBELLKEEL_MEMBERSHIP_READERELECTION_H
#define BLUEBELLKEEL_MEMBERSHIP_READERELECTION_H

#include "bluebellkeel/Membership/InstanceRecord.h"
#include <vector>

namespace bluebellkeel {

/// Elects the instances of a data centre that read the log, by rendezvous
/// hashing among the live ones. When their views of the live instances differ,
/// more instances read, or briefly fewer.
class reader_election {
public:
  /// Readers of each data centre. When both are lost at once, the other
  /// instances read the log themselves until new readers are known.
  static constexpr std::size_t Readers = 2;

  /// True if enough other instances of \p LocalCentre read the log, so that
  /// \p Self need not read it.
  static bool isRedundantReader(const instance_id &Self,
                                const data_centre_id &LocalCentre,
                                const std::vector<instance_record> &Alive);
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_MEMBERSHIP_READERELECTION_H
