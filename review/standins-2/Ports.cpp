/// Prints free ports of the loopback address: as many as the argument says.

#include "Http.h"
#include <cstdlib>
#include <iostream>
#include <vector>

int main(int Argc, char **Argv) {
  int Count = Argc > 1 ? std::atoi(Argv[1]) : 1;
  std::vector<int> Sockets;
  Sockets.reserve(static_cast<std::size_t>(Count));
  for (int I = 0; I < Count; ++I)
    Sockets.push_back(review::listenOn("127.0.0.1", 0));
  for (int Socket : Sockets)
    std::cout << review::portOf(Socket) << "\n";
  return 0;
}
