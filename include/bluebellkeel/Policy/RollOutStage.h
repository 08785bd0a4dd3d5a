#ifndef BLUEBELLKEEL_POLICY_ROLLOUTSTAGE_H
#define BLUEBELLKEEL_POLICY_ROLLOUTSTAGE_H

namespace bluebellkeel {

/// Stage of a version's roll-out; it never returns to an earlier stage.
enum class roll_out_stage { Running, Complete, RolledBack };

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_ROLLOUTSTAGE_H
