#ifndef BLUEBELLKEEL_MEMBERSHIP_READERELECTION_H
#define BLUEBELLKEEL_MEMBERSHIP_READERELECTION_H

#include "bluebellkeel/Membership/InstanceRecord.h"
#include <vector>

namespace bluebellkeel {

/// Which instances of a data centre read the log, by rendezvous hashing among
/// those alive. Views may differ: then some more, or for a moment fewer, read.
class reader_election {
public:
  /// Readers of each data centre. When both are lost at once, the others read
  /// themselves until new ones are known.
  static constexpr std::size_t Readers = 2;

  /// True when enough others of \p LocalCentre read for \p Self.
  static bool isRedundantReader(const instance_id &Self,
                                const data_centre_id &LocalCentre,
                                const std::vector<instance_record> &Alive);
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_MEMBERSHIP_READERELECTION_H
