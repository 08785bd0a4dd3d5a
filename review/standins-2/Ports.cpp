/// Prints free ports of the loopback address: as many as the argument says.
/// They lie below those that the system gives to outgoing connections.

#include "Http.h"
#include <cstdlib>
#include <iostream>
#include <random>
#include <vector>

int main(int Argc, char **Argv) {
  constexpr int FirstPort = 12000;
  constexpr int LastPort = 31000;
  int Count = Argc > 1 ? std::atoi(Argv[1]) : 1;
  std::random_device Random;
  int Port = std::uniform_int_distribution<int>(FirstPort, LastPort)(Random);
  // The sockets stay open until the end, so that no port comes twice.
  std::vector<int> Sockets;
  Sockets.reserve(static_cast<std::size_t>(Count));
  while (Sockets.size() < static_cast<std::size_t>(Count)) {
    Port = Port < LastPort ? Port + 1 : FirstPort;
    int Socket =
        review::listenOn("127.0.0.1", static_cast<std::uint16_t>(Port));
    if (Socket < 0)
      continue;
    Sockets.push_back(Socket);
    std::cout << Port << "\n";
  }
  return 0;
}
