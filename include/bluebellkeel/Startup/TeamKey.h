#ifndef BLUEBELLKEEL_STARTUP_TEAMKEY_H
#define BLUEBELLKEEL_STARTUP_TEAMKEY_H

#include "bluebellkeel/Core/TeamId.h"
#include <tuple>

namespace bluebellkeel {

/// The credential that lets a team of operators change its subtree.
class team_key : public comparable<team_key> {
public:
  team_key(team_id Team, std::string Key)
      : Team(std::move(Team)), Key(std::move(Key)) {}

  const team_id &team() const { return Team; }
  const std::string &secret() const { return Key; }
  auto key() const { return std::tie(Team, Key); }

private:
  team_id Team;
  std::string Key;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_STARTUP_TEAMKEY_H
