#include "RecordingLog.h"
#include "ScriptedServer.h"
#include "bluebellkeel/Gateway.h"
#include <gtest/gtest.h>

using namespace bluebellkeel;

namespace {

class stop_sequence_test : public testing::Test {
protected:
  /// Short phases: requests are completed by 0.7 s and the process ends by
  /// 0.8 s.
  static constexpr milliseconds Grace{1200};

  void stop() {
    Sequence.run(stop_schedule(Grace), [this] { ++Announcements; });
  }

  system_clock Clock;
  guarded_value<reloadable_settings> Reloadable{reloadable_settings()};
  log_freshness SettingsAge;
  gateway_state State{SettingsAge, Reloadable, Clock};
  scripted_server Server;
  recording_log Log;
  int Announcements = 0;
  stop_sequence Sequence{State, Server, Clock, Log};
};

} // namespace

TEST_F(stop_sequence_test, idleServer_endsBeforeTheGracePeriodDoes) {
  auto Start = std::chrono::steady_clock::now();
  stop();
  EXPECT_LT(std::chrono::steady_clock::now() - Start, Grace);
  EXPECT_EQ(1, Announcements);
  EXPECT_EQ(serving_phase::Ended, State.phase());
}

// Guards against requests that are admitted after the server was found idle and
// closed without an answer.
TEST_F(stop_sequence_test, requestThatBeginsWhenTheLastOneEnds_isCompleted) {
  Server.beginOnceIdle(milliseconds(250));
  stop();
  EXPECT_EQ(0U, Server.active());
}

TEST_F(stop_sequence_test, idleServer_isDrainedBeforeItsConnectionsAreClosed) {
  stop();
  std::vector<std::string> Expected = {"disableKeepAlive", "drain",
                                       "closeIdle"};
  EXPECT_EQ(Expected, Server.calls());
}
