#include "Deployment.h"
#include <csignal>
#include <future>

using namespace bluebellkeel;

namespace {
class order_test : public deployment {};
} // namespace

TEST_F(order_test, sameTicket_atTwoInstancesAtOnce_runsOnce) {
  set(service(0), {{"delay_ms", 300}});
  set(service(1), {{"delay_ms", 300}});
  std::string Ticket = requestTicket(0);
  auto First = std::async(std::launch::async,
                          [&] { return sendOrder(0, Ticket, "o", 1); });
  auto Second = std::async(std::launch::async,
                           [&] { return sendOrder(1, Ticket, "o", 1); });
  request_result Results[] = {First.get(), Second.get()};
  int Whole = 0;
  for (const auto &Result : Results) {
    Whole += Result.End == request_outcome::Whole ? 1 : 0;
    EXPECT_NE(request_outcome::NotRun, Result.End) << Result.Reason;
  }
  EXPECT_EQ(1, Whole);
  EXPECT_EQ(1U, runsOf("o"));
}

TEST_F(order_test, resend_afterTheAnswer_getsTheSameAnswer) {
  std::string Ticket = requestTicket(0);
  auto First = sendOrder(0, Ticket, "o", 1);
  ASSERT_EQ(request_outcome::Whole, First.End) << First.Reason;
  ASSERT_TRUE(
      waitFor([&] { return sendOrder(1, Ticket, "o", 2).Text == First.Text; },
              seconds(5)));
  EXPECT_EQ(1U, runsOf("o"));
}

TEST_F(order_test, resend_afterTheHolderWasKilled_neverRunsAgain) {
  set(service(0), {{"late_ms", 1500}});
  set(service(1), {{"late_ms", 1500}});
  std::string Ticket = requestTicket(0);
  auto First = std::async(std::launch::async,
                          [&] { return sendOrder(0, Ticket, "o", 1); });
  ASSERT_TRUE(waitFor([&] { return runsOf("o") == 1; }, seconds(10)));
  killInstance(0);
  EXPECT_EQ(request_outcome::Cut, First.get().End);
  for (int Instance : {1, 2}) {
    auto Resent = sendOrder(Instance, Ticket, "o", 2);
    EXPECT_EQ(request_outcome::Refused, Resent.End);
    EXPECT_EQ("ticket_held_elsewhere", Resent.Reason);
  }
  EXPECT_EQ(1U, runsOf("o"));
}

TEST_F(order_test, holder_pausedAndResumed_runsOnce) {
  set(service(0), {{"late_ms", 1000}});
  set(service(1), {{"late_ms", 1000}});
  std::string Ticket = requestTicket(0);
  auto First = std::async(std::launch::async,
                          [&] { return sendOrder(0, Ticket, "o", 1); });
  ASSERT_TRUE(waitFor([&] { return runsOf("o") == 1; }, seconds(10)));
  Instances[0]->signal(SIGSTOP);
  EXPECT_EQ("ticket_held_elsewhere", sendOrder(1, Ticket, "o", 2).Reason);
  sleepFor(seconds(4));
  Instances[0]->signal(SIGCONT);
  First.get();
  EXPECT_EQ(1U, runsOf("o"));
}

TEST_F(order_test, serviceReplyLost_outcomeIsUnknownAndOrderIsNotRunAgain) {
  set(service(0), {{"drop_reply", 1}});
  set(service(1), {{"drop_reply", 1}});
  std::string Ticket = requestTicket(0);
  auto First = sendOrder(0, Ticket, "o", 1);
  EXPECT_EQ("outcome_unknown", First.Reason);
  EXPECT_EQ(request_outcome::Refused, First.End);
  set(service(0), {{"drop_reply", 0}});
  set(service(1), {{"drop_reply", 0}});
  EXPECT_EQ("ticket_held_elsewhere", sendOrder(1, Ticket, "o", 2).Reason);
  EXPECT_EQ(1U, runsOf("o"));
}

TEST_F(order_test, logDown_orderIsNotRunAndTicketRunsLater) {
  std::string Ticket = requestTicket(0);
  set(log(), {{"down", 1}});
  auto First = sendOrder(0, Ticket, "o", 1);
  EXPECT_EQ("log_unavailable", First.Reason);
  EXPECT_EQ(request_outcome::NotRun, First.End);
  EXPECT_EQ(0U, runsOf("o"));
  set(log(), {{"down", 0}});
  auto Second = sendOrder(1, Ticket, "o", 2);
  EXPECT_EQ(request_outcome::Whole, Second.End) << Second.Reason;
  EXPECT_EQ(1U, runsOf("o"));
}

TEST_F(order_test, appendAnswersLost_ticketIsReleasedAndRunsLater) {
  std::string Ticket = requestTicket(0);
  set(log(), {{"lose_answers", 1}});
  auto First = sendOrder(0, Ticket, "o", 1);
  EXPECT_EQ(request_outcome::NotRun, First.End) << First.Reason;
  set(log(), {{"lose_answers", 0}});
  // The release of the abandoned attempt is written once the log answers.
  EXPECT_TRUE(waitFor(
      [&] {
        return sendOrder(1, Ticket, "o", 2).End == request_outcome::Whole;
      },
      seconds(10)));
  EXPECT_EQ(1U, runsOf("o"));
}

TEST_F(order_test, ticketOlderThanRetention_isRefusedAndNotRun) {
  std::string Ticket = requestTicket(0);
  for (int Index = 0; Index < 3; ++Index)
    sendOrder(0, requestTicket(0), "other", 1);
  post(log(), "/trim", {{"stream", "claims"}, {"before", 1000}});
  auto Result = sendOrder(1, Ticket, "o", 2);
  EXPECT_EQ("ticket_expired", Result.Reason);
  EXPECT_EQ(request_outcome::Refused, Result.End);
  EXPECT_EQ(0U, runsOf("o"));
}

TEST_F(order_test, forgedTicket_isRefused) {
  std::string Ticket = requestTicket(0);
  Ticket[5] = Ticket[5] == 'a' ? 'b' : 'a';
  EXPECT_EQ("ticket_invalid", sendOrder(0, Ticket, "o", 1).Reason);
  EXPECT_EQ(0U, runsOf("o"));
}
