#include "UnknownConnections.h"
#include <algorithm>

using namespace bluebellkeel;

static bool same(const unknown_connections::handle &L,
                 const unknown_connections::handle &R) {
  return !L.owner_before(R) && !R.owner_before(L);
}

std::optional<unknown_connections::handle>
unknown_connections::add(const handle &Connection, monotonic_time Now) {
  std::optional<handle> Closing;
  if (Connections.size() >= MaxConnections) {
    if (Now - Connections.front().second < MinAge)
      return Connection;
    Closing = Connections.front().first;
    Connections.pop_front();
  }
  Connections.emplace_back(Connection, Now);
  return Closing;
}

bool unknown_connections::remove(const handle &Connection) {
  auto Found = std::find_if(
      Connections.begin(), Connections.end(),
      [&](const auto &Entry) { return same(Entry.first, Connection); });
  if (Found == Connections.end())
    return false;
  Connections.erase(Found);
  return true;
}

std::vector<unknown_connections::handle>
unknown_connections::takeExpired(monotonic_time Now) {
  std::vector<handle> Expired;
  while (!Connections.empty() && Now - Connections.front().second >= MaxAge) {
    Expired.push_back(Connections.front().first);
    Connections.pop_front();
  }
  return Expired;
}
