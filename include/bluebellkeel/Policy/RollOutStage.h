#ifndef BLUEBELLKEEL_POLICY_ROLLOUTSTAGE_H
#define BLUEBELLKEEL_POLICY_ROLLOUTSTAGE_H

namespace bluebellkeel {

/// How far a roll-out of a version has come; a later stage never turns back.
enum class roll_out_stage { Running, Complete, RolledBack };

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_ROLLOUTSTAGE_H
