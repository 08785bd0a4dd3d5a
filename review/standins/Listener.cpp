#include "Listener.h"
#include <arpa/inet.h>
#include <cstdio>
#include <cstdlib>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace review;

listener::listener(serve_function Serve, int ReceiveBytes)
    : Serve(std::move(Serve)) {
  constexpr int Backlog = 512;
  /// Exit code of a case that could not run.
  constexpr int CannotRun = 2;
  int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (ReceiveBytes > 0)
    ::setsockopt(Socket, SOL_SOCKET, SO_RCVBUF, &ReceiveBytes,
                 sizeof ReceiveBytes);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t Size = sizeof Address;
  if (::bind(Socket, reinterpret_cast<sockaddr *>(&Address), Size) != 0 ||
      ::listen(Socket, Backlog) != 0) {
    std::perror("listen");
    std::_Exit(CannotRun);
  }
  ::getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Size);
  Port = ntohs(Address.sin_port);
  std::thread([this, Socket] { acceptLoop(Socket); }).detach();
}

void listener::acceptLoop(int Socket) const {
  while (true) {
    int Accepted = ::accept4(Socket, nullptr, nullptr, SOCK_CLOEXEC);
    if (Accepted < 0)
      continue;
    int One = 1;
    ::setsockopt(Accepted, IPPROTO_TCP, TCP_NODELAY, &One, sizeof One);
    std::thread([this, Accepted] {
      connection Connection(Accepted);
      Serve(Connection);
    }).detach();
  }
}
