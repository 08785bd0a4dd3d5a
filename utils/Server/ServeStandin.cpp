#include "ServeStandin.h"
#include "absl/flags/usage.h"
#include "bluebellkeel/Core/NetworkAddress.h"
#include "bluebellkeel/Http.h"
#include <csignal>
#include <iostream>

using namespace bluebellkeel;

/// These limits exceed what any test opens or sends.
static constexpr std::size_t MaxConnections = 4000;
static constexpr std::size_t MaxBodyBytes = 16UL * 1024 * 1024;
static constexpr seconds WriteTimeout{30};
static constexpr std::size_t Threads = 2;

static sigset_t blockSignals() {
  std::signal(SIGPIPE, SIG_IGN);
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  return Signals;
}

int bluebellkeel::serveStandin(const std::unique_ptr<http_handler> &Standin,
                               const std::string &Address) {
  constexpr int BadUsage = 2;
  auto Parsed = network_address::parse(Address);
  if (!Standin || !Parsed) {
    std::cerr << absl::ProgramUsageMessage() << "\n";
    return BadUsage;
  }
  sigset_t Signals = blockSignals();
  thread_pool Pool(Threads);
  http_server Server(Pool, *Standin,
                     http_limits(MaxConnections, MaxBodyBytes, WriteTimeout));
  auto Listening = Server.listen(*Parsed);
  if (!Listening) {
    std::cerr << Listening.error() << "\n";
    return BadUsage;
  }
  int Signal = 0;
  sigwait(&Signals, &Signal);
  Pool.stop();
  return 0;
}
