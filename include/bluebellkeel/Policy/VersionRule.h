#ifndef BLUEBELLKEEL_POLICY_VERSIONRULE_H
#define BLUEBELLKEEL_POLICY_VERSIONRULE_H

#include "bluebellkeel/Core/Comparable.h"
#include "bluebellkeel/Core/VersionId.h"
#include <tuple>

namespace bluebellkeel {

/// Restricts the versions of a service that one request may run on.
class version_rule : public comparable<version_rule> {
public:
  enum class kind { Any, Only, Not };

  version_rule() = default;
  version_rule(kind Kind, version_id Version)
      : Kind(Kind), Version(std::move(Version)) {}

  bool admits(const version_id &Candidate) const {
    return Kind == kind::Any || (Kind == kind::Only) == (Candidate == Version);
  }
  kind type() const { return Kind; }
  /// The version that Only and Not refer to; empty for Any.
  const version_id &version() const { return Version; }
  auto key() const { return std::tie(Kind, Version); }

private:
  kind Kind = kind::Any;
  version_id Version;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_VERSIONRULE_H
