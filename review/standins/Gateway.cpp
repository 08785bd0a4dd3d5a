#include "Gateway.h"
#include "Connection.h"
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

using namespace review;

/// The command of the deploy file, run in the root of the repository.
static constexpr const char *Program = "target/platform/bluebellkeel-gateway";

static constexpr milliseconds PollInterval{20};

gateway::gateway(std::string Folder, std::string Name, std::string StoreAddress,
                 unsigned MemoryMb)
    : Folder(std::move(Folder)), Name(std::move(Name)),
      StoreAddress(std::move(StoreAddress)), MemoryMb(MemoryMb),
      CallerPort(freePort()), ReadyPort(freePort()), DirectoryPort(freePort()),
      PeerPort(freePort()), MetricsPort(freePort()) {}

gateway::~gateway() {
  if (Pid <= 0 || ended())
    return;
  ::kill(Pid, SIGKILL);
  ::waitpid(Pid, nullptr, 0);
}

/// The template deploy/settings.json.in with the bounds of a small site.
std::string gateway::settings() const {
  auto Address = [](std::uint16_t Port) {
    return "\"" + addressOf(Port) + "\"";
  };
  return "{\"instance\": \"" + Name + "\", \"data_centre\": \"north\",\n" +
         " \"log\": \"" + StoreAddress + "\",\n" +
         " \"listen\": {\"callers\": " + Address(CallerPort) +
         ", \"ready\": " + Address(ReadyPort) +
         ", \"directory\": " + Address(DirectoryPort) +
         ", \"peers\": " + Address(PeerPort) +
         ", \"metrics\": " + Address(MetricsPort) + "},\n" +
         " \"peers\": {\"seeds\": [" + Address(PeerPort) +
         "], \"key\": \"gateway-peers-" + StoreAddress + "\"},\n" +
         " \"rules\": {\"retry_ratio\": 0.9, \"retry_slack\": 58, "
         "\"retry_window_s\": 10, \"trial_share\": 0.15, \"grace_s\": 8, "
         "\"settings_apply_ms\": 2000, \"upstreams_apply_ms\": 2000, "
         "\"upstreams_renew_ms\": 1200, \"advice_life_s\": 5},\n" +
         " \"memory_mb\": " + std::to_string(MemoryMb) +
         ", \"log_level\": \"info\"}\n";
}

void gateway::start() {
  std::string File = Folder + "/" + Name + ".json";
  std::string Log = Folder + "/" + Name + ".log";
  std::ofstream(File) << settings();
  Reaped = false;
  Pid = ::fork();
  if (Pid != 0)
    return;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  int Output = ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::dup2(Output, STDOUT_FILENO);
  ::dup2(Output, STDERR_FILENO);
  ::setenv("BLUEBELLKEEL_CONFIG", File.c_str(), 1);
  ::execl(Program, Program, static_cast<char *>(nullptr));
  std::_Exit(127);
}

bool gateway::awaitReady(milliseconds Limit) const {
  time_point End = clock_type::now() + Limit;
  while (clock_type::now() < End) {
    connection Connection(connection::dial(ReadyPort));
    message Response;
    if (Connection.isOpen() &&
        Connection.send("GET /bluebellkeel/readyz HTTP/1.1\r\nHost: x\r\n"
                        "Connection: close\r\n\r\n") &&
        Connection.read(Response) == read_result::Complete &&
        Response.status() == 200)
      return true;
    std::this_thread::sleep_for(PollInterval);
  }
  return false;
}

void gateway::signal(int Number) const { ::kill(Pid, Number); }

bool gateway::ended() {
  if (!Reaped && ::waitpid(Pid, nullptr, WNOHANG) == Pid)
    Reaped = true;
  return Reaped;
}

std::optional<std::size_t> gateway::residentBytes() const {
  std::ifstream File("/proc/" + std::to_string(Pid) + "/statm");
  std::size_t Total = 0;
  std::size_t Resident = 0;
  if (!(File >> Total >> Resident) || Resident == 0)
    return std::nullopt;
  return Resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}
