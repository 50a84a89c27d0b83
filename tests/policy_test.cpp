// The decisions, one small case each.
#include <algorithm>
#include <array>

#include "helpers.hpp"

namespace ashbeam {
namespace {

using Outcome = World::Outcome;

World on_trial(const RouterSettings& terms = default_settings(), double cap = 0.4, unsigned earlier = 8,
               unsigned trial = 3) {
  World w(terms, earlier, 0);
  w.run(Span::s(5), 100);
  w.list(earlier, trial);
  w.stage(2, 0, ReleasePhase::kCanary, cap);
  return w;
}

TEST(Share, StartsLowAndClimbsWhileQuiet) {
  World w = on_trial();
  const std::size_t from = w.sink.sent.size();
  w.run(Span::s(1), 200);
  const std::size_t early = w.sent_to(2, from);
  w.run(Span::ms(2900), 200);
  EXPECT_TRUE(w.sink.logged("full traffic weight"));  // three steps and a half of a quiet second each
  w.run(Span::ms(2100), 200);
  const std::size_t later = w.sink.sent.size();
  w.run(Span::s(1), 200);
  EXPECT_GT(early, 0u);
  EXPECT_LT(early, 30u);                      // about 0.3 of what three hosts in eleven should carry
  EXPECT_GT(w.sent_to(2, later), 2 * early);  // full share
}

TEST(Share, ModerateHarmStepsBackOnceAndRecovers) {
  World w = on_trial();
  w.serve = [](ReleaseVersion b, EndpointIndex) {
    static int n = 0;
    return Outcome{b == 2 && ++n % 28 == 0 ? AttemptResult::kError : AttemptResult::kOk};
  };
  w.run(Span::s(7), 300);
  EXPECT_TRUE(w.sink.logged("stepped back"));
  EXPECT_FALSE(w.sink.voted(Vote::kAbort));
}

TEST(Share, SevereHarmBrakesAndVotesBack) {
  World w = on_trial();
  w.serve = [](ReleaseVersion b, EndpointIndex) {
    static int n = 0;
    return Outcome{b == 2 && ++n % 4 == 0 ? AttemptResult::kError : AttemptResult::kOk};
  };
  w.run(Span::s(4), 200);
  EXPECT_TRUE(w.sink.voted(Vote::kAbort));
  const std::size_t from = w.sink.sent.size();
  w.run(Span::s(1), 200);
  EXPECT_EQ(w.sent_to(2, from), 0u);
}

TEST(Share, OneFailingPathGroupDoesNotHideAmongTheOthers) {
  RouterSettings terms = default_settings();
  World w = on_trial(terms);
  w.run(Span::ms(300), 0);
  for (int i = 0; i < 1600 && !w.sink.voted(Vote::kAbort); ++i) {
    const unsigned group = i % 12 == 0 ? 1 : 0;
    w.take(group);
    const Noted::Sent s = w.sink.sent.back();
    const bool fails = w.builds[s.host] == 2 && group == 1;
    w.now = w.now + Span::ms(5);
    w.end(s, fails ? AttemptResult::kError : AttemptResult::kOk, Span::ms(50), fails);
    w.beat();
  }
  EXPECT_TRUE(w.sink.voted(Vote::kAbort));
}

TEST(Judging, OneSickHostDoesNotConvictItsBuild) {
  World w = on_trial(default_settings(), 0.4, 8, 4);
  w.serve = [](ReleaseVersion, EndpointIndex h) {
    return Outcome{h == 9 ? AttemptResult::kError : AttemptResult::kOk};
  };
  w.run(Span::s(6), 200);
  EXPECT_FALSE(w.sink.voted(Vote::kAbort));
  EXPECT_TRUE(w.sink.logged("endpoint 9 ejected"));
}

TEST(Judging, ALoneSickTrialHostIsHeldWhileEarlierHostsAreSickToo) {
  for (const bool others : {false, true}) {
    World w = on_trial(default_settings(), 0.4, 8, 1);
    w.serve =
        others ? [](ReleaseVersion,
                    EndpointIndex
                        h) { return Outcome{h < 2 || h == 8 ? AttemptResult::kError : AttemptResult::kOk}; }
               : [](ReleaseVersion, EndpointIndex h) {
                   return Outcome{h == 8 ? AttemptResult::kError : AttemptResult::kOk};
                 };
    w.run(Span::s(6), 200);
    EXPECT_EQ(w.sink.voted(Vote::kAbort), !others);
    EXPECT_FALSE(w.sink.voted(Vote::kPromote));
  }
}

TEST(Judging, AFewSickHostsDoNotSendBackAReleasedBuild) {
  for (const bool all : {false, true}) {
    World w(default_settings(), 0, 12);
    w.stage(2, 2, ReleasePhase::kReleased, 1);
    w.serve = all ? [](ReleaseVersion, EndpointIndex) {
      static int n = 0;
      return Outcome{++n % 5 == 0 ? AttemptResult::kError : AttemptResult::kOk};
    } : [](ReleaseVersion, EndpointIndex h) { return Outcome{h < 3 && h % 2 == 0 ? AttemptResult::kError : AttemptResult::kOk}; };
    w.run(Span::s(4), 200);
    EXPECT_EQ(w.sink.voted(Vote::kAbort), all);
  }
}

TEST(Judging, TrialHostsThatGoOutOneByOneCountAgainstTheirBuild) {
  World w = on_trial(default_settings(), 0.4, 8, 5);  // the oldest turn bad first; each is soon out
  w.serve = [](ReleaseVersion, EndpointIndex h) {
    return Outcome{h >= 8 && h < 11 ? AttemptResult::kError : AttemptResult::kOk};
  };
  w.run(Span::s(12), 200);
  EXPECT_TRUE(w.sink.voted(Vote::kAbort));
  EXPECT_FALSE(w.sink.voted(Vote::kPromote));
}

TEST(Judging, FailuresEverywhereAreNotTheTrials) {
  World w = on_trial();
  w.serve = [](ReleaseVersion, EndpointIndex) {
    static int n = 0;
    return Outcome{++n % 10 == 0 ? AttemptResult::kError : AttemptResult::kOk};
  };
  w.run(Span::s(6), 200);
  EXPECT_FALSE(w.sink.voted(Vote::kAbort));
}

TEST(Judging, BrokenConnectionsDoNotConvictABuild) {
  World w = on_trial();
  w.serve = [](ReleaseVersion b, EndpointIndex) {
    return Outcome{b == 2 ? AttemptResult::kConnectFailed : AttemptResult::kOk};
  };
  w.run(Span::s(6), 200);
  EXPECT_FALSE(w.sink.voted(Vote::kAbort));
}

TEST(Judging, LastingSlownessOfTheTrialIsSevere) {
  World w = on_trial();
  w.serve = [](ReleaseVersion b, EndpointIndex) {
    return Outcome{AttemptResult::kOk, Span::ms(b == 2 ? 130 : 50)};
  };
  w.run(Span::s(10), 200);
  EXPECT_TRUE(w.sink.logged("stepped back"));
  EXPECT_TRUE(w.sink.voted(Vote::kAbort));
}

TEST(Judging, ABuildThatSlowsAllHostsIsCaughtUnlessHostsAreLostOrABurstCameFirst) {
  for (const auto& [lost, burst] : {std::pair{false, false}, {true, false}, {false, true}}) {
    World w = on_trial();
    if (burst) w.run(Span::s(1), 300);
    w.serve =
        lost ? [](ReleaseVersion,
                  EndpointIndex h) { return Outcome{h < 2 ? AttemptResult::kConnectFailed : AttemptResult::kOk, Span::ms(300)}; }
             : [](ReleaseVersion, EndpointIndex) {
                 return Outcome{AttemptResult::kOk, Span::ms(300)};
               };
    w.run(Span::ms(9500), burst ? 300 : 60);
    EXPECT_EQ(w.sink.voted(Vote::kAbort), !lost && !burst);
    EXPECT_EQ(w.sink.logged("stepped back"),
              !lost && !burst);  // 8 s from the burst's end, not from its start
  }
}

TEST(Judging, AReleasedBuildUnderWhichAllGrowsSlowGoesBack) {
  World w = on_trial();
  w.stage(2, 2, ReleasePhase::kReleased, 1);
  w.serve = [](ReleaseVersion, EndpointIndex) { return Outcome{AttemptResult::kOk, Span::ms(500)}; };
  w.run(Span::s(10), 60);
  EXPECT_TRUE(w.sink.voted(Vote::kAbort));
}

TEST(Judging, DisputedAnswersConvict) {
  RouterSettings terms = default_settings();
  terms.dispute_report_fraction = 0.15;
  World w = on_trial(terms);
  w.run(Span::s(3), 100);
  for (EndpointIndex i = 0; i < 4; ++i) w.router->on_disputed_answer({8 + i % 3, Span::ms(500)});
  w.run(Span::ms(300), 100);
  EXPECT_TRUE(w.sink.voted(Vote::kAbort));
}

TEST(Judging, TheTallyStandsInWhileOwnOutcomesAreFew) {
  World w = on_trial(default_settings(), 0.1);
  w.router->on_outcome_sample({1, 0, 100, 0});
  w.router->on_outcome_sample({2, 0, 40, 10});
  w.run(Span::s(1), 5);
  EXPECT_TRUE(w.sink.voted(Vote::kAbort));
}

TEST(Votes, OnIsPatient) {
  World w = on_trial();
  w.list(8, 3, w.now);  // the newest trial host has just started
  const Instant started = w.now;
  while (!w.sink.voted(Vote::kPromote) && w.now - started < Span::s(30)) w.run(Span::ms(100), 200);
  EXPECT_TRUE(w.sink.voted(Vote::kPromote));
  EXPECT_GT(w.now - started, Span::s(5));
}

TEST(Votes, PatienceIsForTheStagesOfTheTerms) {
  RouterSettings terms = default_settings();
  terms.bake_time = Span::s(1);
  World w = on_trial(terms);
  w.list(8, 3, w.now);
  const Instant started = w.now;
  while (!w.sink.voted(Vote::kPromote) && w.now - started < Span::s(30)) w.run(Span::ms(100), 200);
  EXPECT_GT(w.now - started, Span::s(2));
  EXPECT_LT(w.now - started, Span::s(4.5));
  w.stage(2, 2, ReleasePhase::kCanary, 1);  // the last one, where all load follows
  w.list(8, 8, w.now);
  const Instant last = w.now;
  const std::size_t before = w.sink.votes.size();
  while (w.sink.votes.size() == before && w.now - last < Span::s(30)) w.run(Span::ms(100), 200);
  EXPECT_GT(w.now - last, Span::s(2.9));
}

// A zone is lost while the stage goes through: what of it can't be there does not keep the build from going
// on.
TEST(Votes, HostsThatAreOutAreNotWaitedFor) {
  World w = on_trial(default_settings(), 1, 8, 4);
  w.serve = [](ReleaseVersion, EndpointIndex h) {
    return Outcome{h % 2 != 0 ? AttemptResult::kConnectFailed : AttemptResult::kOk};
  };
  w.stage(2, 2, ReleasePhase::kCanary, 1);  // all eight are due
  w.run(Span::s(9.5), 200);
  EXPECT_FALSE(w.sink.voted(Vote::kPromote));  // two of the four that are left
  w.list(8, 6);
  w.run(Span::s(1), 200);
  EXPECT_TRUE(w.sink.voted(Vote::kPromote));  // three of four; in the list are six of eight
}

TEST(Votes, RenewedBeforeTheyLapseAndNeverOnUnderTheClock) {
  World w = on_trial();
  w.run(Span::s(30), 200);
  EXPECT_GE(w.sink.votes.size(), 3u);
  RouterSettings terms = default_settings();
  terms.promoted_by_clock = true;
  World c = on_trial(terms);
  c.run(Span::s(20), 200);
  EXPECT_TRUE(c.sink.votes.empty());
}

TEST(Votes, AFailedVoteCarriesNoNewsAndIsCastAgain) {
  RouterSettings terms = default_settings();
  terms.platform_calls_per_s = 4;
  World w = on_trial(terms);
  w.run(Span::s(15), 200);
  ASSERT_TRUE(w.sink.voted(Vote::kPromote));
  const std::size_t before = w.sink.votes.size();
  w.router->on_vote_refused(VoteOutcome::kUnknown);
  w.run(Span::s(1), 200);  // it may have been lost: soon
  EXPECT_GT(w.sink.votes.size(), before);
  EXPECT_EQ(w.sink.votes.back().second, Vote::kPromote);
}

// Three hundred routers that are ready at one time, and a desk that takes 16 calls a second and turns the
// rest away.
TEST(Votes, ManyRoutersTogetherGetTheVotesThatAreNeeded) {
  RouterSettings terms = default_settings();
  terms.router_count = 300;
  terms.platform_calls_per_s = 16;
  terms.abort_votes_needed = 45;
  for (const bool bad : {false, true}) {
    std::vector<Instant> stands;
    std::size_t most = 0, taken = 0;
    std::vector<World> fleet;
    fleet.reserve(terms.router_count);
    for (unsigned r = 0; r < terms.router_count; ++r) {
      fleet.emplace_back(terms, 8, 0, r + 1);
      fleet.back().list(8, 3);
      fleet.back().stage(2, 0, ReleasePhase::kCanary, 0.4);
      if (bad) fleet.back().router->on_outcome_sample({1, 0, 900, 0});
      if (bad) fleet.back().router->on_outcome_sample({2, 0, 900, 800});
      stands.emplace_back();
    }
    for (int second = 0; second < 20; ++second) {
      taken = 0;
      for (int part = 0; part < 20; ++part) {
        for (unsigned r = 0; r < terms.router_count; ++r) {
          World& w = fleet[r];
          const std::size_t before = w.sink.votes.size();
          w.run(Span::ms(50), 0);
          for (std::size_t i = before; i < w.sink.votes.size(); ++i) {
            const bool full = taken >= 16;
            taken += !full;
            if (!full) stands[r] = w.now;
            if (full) w.router->on_vote_refused(VoteOutcome::kThrottled);
            else w.router->on_release_state({2, 0, ReleasePhase::kCanary, 0.4, Span()});
          }
        }
        const Instant now = fleet.front().now;
        const auto live = [&](Instant at) { return now - at < terms.vote_ttl; };
        most = std::max<std::size_t>(most, std::count_if(stands.begin(), stands.end(), live));
      }
    }
    EXPECT_GE(most, bad ? 45u : 118u) << (bad ? "back" : "on");
  }
}

TEST(Departure, FullCapWhereNoEarlierHostIsLeft) {
  World w(default_settings(), 0, 6);
  w.stage(2, 2, ReleasePhase::kCanary, 1.0);
  w.run(Span::s(2), 100);
  EXPECT_GT(w.sink.sent.size(), 190u);
}

// The news that the last stage has passed is late: further forwards and steps back must not starve the hits.
TEST(Departure, WhereOnlyTheTrialIsLeftEachHitKeepsItsRoom) {
  RouterSettings terms = default_settings();
  terms.may_hedge = false;
  World w(terms, 0, 8);
  w.stage(2, 2, ReleasePhase::kCanary, 1.0);
  w.serve = [](ReleaseVersion, EndpointIndex) {
    static int forwards = 0;  // one in 16 takes long
    return Outcome{AttemptResult::kOk, Span::ms(++forwards % 16 == 0 ? 900 : 50)};
  };
  w.run(Span::s(10), 150, {0, 1, 2});
  EXPECT_LT(w.sink.bounced.size() + w.sink.errored.size(), 30u);  // of 1500
}

TEST(Exposure, NothingAtCapZeroAndStageZeroBeforeTheNews) {
  World w(default_settings(), 8, 8);
  w.run(Span::s(2), 200);  // build 2 is listed but not announced
  EXPECT_LE(w.sent_to(2), 2 + 0.1 * 400);
  w.stage(2, 1, ReleasePhase::kRollingBack, 0);
  const std::size_t from = w.sink.sent.size();
  w.run(Span::s(2), 200);
  EXPECT_EQ(w.sent_to(2, from), 0u);
}

TEST(Exposure, AKeyAnsweredByTheNewBuildStaysWithIt) {
  RouterSettings terms = default_settings();
  terms.sticky_keys = true;
  World w(terms, 4, 4);
  w.stage(2, 1, ReleasePhase::kCanary, 0.9);
  std::map<std::uint64_t, bool> bound;
  for (int i = 0; i < 4000; ++i) {
    const std::uint64_t key = 1 + static_cast<std::uint64_t>(i % 100) * 7919;
    const std::size_t before = w.sink.sent.size();
    w.take(0, key);
    w.now = w.now + Span::ms(5);
    for (std::size_t s = before; s < w.sink.sent.size(); ++s) {
      const bool blue = w.builds[w.sink.sent[s].host] == 2;
      EXPECT_TRUE(blue || !bound[key] || w.sink.sent[s].hit != w.next_hit - 1);
      if (blue) bound[key] = true;
      w.end(w.sink.sent[s], AttemptResult::kOk);
    }
    w.beat();
  }
  EXPECT_GT(std::count_if(bound.begin(), bound.end(), [](const auto& b) { return b.second; }), 10);
}

// News of a build gone back may come once more while hosts of the next one answer already.
TEST(Exposure, KeysStayWithTheNextBuildWhenTheLastOneGoesBack) {
  RouterSettings terms = default_settings();
  terms.sticky_keys = true;
  World w(terms, 0, 4);
  for (EndpointIndex h = 0; h < 4; ++h)
    w.router->update_endpoint({h, EndpointState::kReady, 3, 0, h, 0, Instant()});
  w.router->end_endpoint_update();
  w.stage(2, 0, ReleasePhase::kWithdrawn, 0);
  w.take(0, 77);
  ASSERT_EQ(w.sink.sent.size(), 1u);
  w.end(w.sink.sent[0], AttemptResult::kOk);
  w.stage(2, 0, ReleasePhase::kWithdrawn, 0);
  w.list(4, 0);
  w.take(0, 77);
  EXPECT_EQ(w.sink.sent.size(), 1u);
  w.take(0, 78);
  EXPECT_EQ(w.sink.sent.size(), 2u);
}

TEST(Hits, MutatingIsErroredOnceItMayHaveRunAndBouncedBefore) {
  World w(default_settings());
  const RequestId ran = w.take(2);
  w.end(w.sink.sent.back(), AttemptResult::kReset);
  EXPECT_EQ(w.sink.errored, std::vector<RequestId>{ran});
  w.run(Span::s(1), 50);  // a few hits earn the budget for further forwards
  const RequestId proved = w.take(2);
  for (int i = 0; i < 4; ++i) w.end(w.sink.sent.back(), AttemptResult::kConnectFailed);
  EXPECT_EQ(w.sink.legs[proved], 4u);
  EXPECT_EQ(w.sink.bounced, std::vector<RequestId>{proved});
}

TEST(Hits, TaggedStaysInItsZoneAndMemory) {
  World w(default_settings());
  w.take(1);
  const EndpointIndex first = w.sink.sent.back().host;
  w.end(w.sink.sent.back(), AttemptResult::kError);
  ASSERT_EQ(w.sink.sent.size(), 2u);
  EXPECT_EQ(w.sink.sent.back().host % 2, first % 2);
  w.now = w.now + Span::ms(1100);  // what it may have done is forgotten by now
  w.end(w.sink.sent.back(), AttemptResult::kError);
  EXPECT_EQ(w.sink.sent.size(), 2u);
  EXPECT_EQ(w.sink.errored.size(), 1u);
}

// A zone that is lost whole is left alone though it is half of the list: the other still answers.
TEST(Hosts, ALostZoneIsLeftOutAndAllAreTriedWhereAllFail) {
  World w(default_settings(), 8);
  w.run(Span::s(2), 200);
  w.serve = [](ReleaseVersion, EndpointIndex h) {
    return World::Outcome{h % 2 != 0 ? AttemptResult::kConnectFailed : AttemptResult::kOk};
  };
  w.run(Span::s(1), 200);
  const auto lost = [&](std::size_t from) {
    return std::count_if(w.sink.sent.begin() + static_cast<std::ptrdiff_t>(from), w.sink.sent.end(),
                         [](const auto& s) { return s.host % 2 != 0; });
  };
  std::size_t from = w.sink.sent.size();
  w.run(Span::s(1), 200);
  EXPECT_LT(lost(from), 20);
  w.serve = [](ReleaseVersion, EndpointIndex) { return World::Outcome{AttemptResult::kConnectFailed}; };
  w.run(Span::s(2), 200);
  from = w.sink.sent.size();
  w.run(Span::s(1), 200);
  EXPECT_GT(lost(from), 10);  // as cold as they may be when they come back
}

// Also where no copies are allowed and each hit there is called off long before its host counts as silent.
TEST(Hits, ASilentHostIsDroppedAndItsHitsGoElsewhere) {
  for (const bool copies : {true, false}) {
    RouterSettings terms = default_settings();
    terms.may_hedge = copies;
    World w(terms);
    w.serve = [](ReleaseVersion, EndpointIndex h) {
      return Outcome{AttemptResult::kOk, Span::ms(50), h == 3};
    };
    w.run(Span::s(6), 100);
    EXPECT_TRUE(w.sink.logged("endpoint 3 ejected"));
    std::size_t late = 0;
    for (std::size_t i = w.sink.sent.size() - 100; i < w.sink.sent.size(); ++i)
      late += w.sink.sent[i].host == 3;
    EXPECT_LT(late, 5u);
    EXPECT_TRUE(w.sink.errored.empty() || !copies);
    World few(terms);  // so few hits that all there are called off in time
    few.serve = w.serve;
    few.run(Span::s(6), 50);
    EXPECT_TRUE(few.sink.logged("endpoint 3 ejected")) << copies;
  }
}

TEST(Hits, EveryHitEndsOnceBeforeItsTimeout) {
  World w(default_settings());
  w.serve = [](ReleaseVersion, EndpointIndex) { return Outcome{AttemptResult::kOk, Span(), true}; };
  for (int i = 0; i < 30; ++i) w.take(static_cast<unsigned>(i) % 3, 0, Span::ms(500));
  w.run(Span::ms(495), 0);
  EXPECT_EQ(w.sink.bounced.size() + w.sink.errored.size(), 30u);
}

TEST(Hits, OverloadBouncesAtOnceWhatIsWorthLeast) {
  RouterSettings terms = default_settings();
  terms.request_classes[1].priority_weight = 5;
  World w(terms, 2);
  w.serve = [](ReleaseVersion, EndpointIndex) { return Outcome{AttemptResult::kOk, Span::ms(250)}; };
  w.run(Span::s(6), 200, {0, 1});
  const auto cheap =
      std::count_if(w.sink.bounced.begin(), w.sink.bounced.end(), [](RequestId h) { return h % 2 == 0; });
  EXPECT_GT(static_cast<std::size_t>(cheap), w.sink.bounced.size() / 2);
}

TEST(Hits, RefusalDoesNotOutliveTheJam) {
  World w(default_settings(), 4);
  w.serve = [](ReleaseVersion, EndpointIndex) { return Outcome{AttemptResult::kOk, Span::ms(900)}; };
  w.run(Span::s(6), 100);
  w.serve = [](ReleaseVersion, EndpointIndex) { return Outcome{}; };
  w.run(Span::s(6), 40);
  const std::size_t bounced = w.sink.bounced.size();
  w.run(Span::s(2), 40);
  EXPECT_LT(w.sink.bounced.size() - bounced, 8u);
}

TEST(Hosts, DrainingAndGoneGetNothing) {
  World w(default_settings(), 4);
  w.router->begin_endpoint_update(false);
  w.router->update_endpoint({0, EndpointState::kDraining, 1, 0, 0, 0, Instant()});
  w.router->update_endpoint({1, EndpointState::kRemoved, 1, 1, 1, 0, Instant()});
  w.router->end_endpoint_update();
  w.run(Span::s(1), 100);
  for (const auto& s : w.sink.sent) EXPECT_GE(s.host, 2u);
}

TEST(Hosts, OutcomesOfAFormerProcessSayNothingOfTheNextOne) {
  World w(default_settings(), 4);
  for (int i = 0; i < 40; ++i) w.take();
  w.router->begin_endpoint_update(false);
  for (EndpointIndex h = 0; h < 4; ++h)
    w.router->update_endpoint({h, EndpointState::kReady, 2, h % 2, h, 0, Instant()});
  w.router->end_endpoint_update();
  const auto sent = w.sink.sent;  // more follows as these end
  ASSERT_GE(sent.size(), 12u);
  for (const auto& s : sent) w.end(s, AttemptResult::kReset);
  EXPECT_FALSE(w.sink.logged("ejected for"));
}

TEST(Hosts, OneThatWasGoneComesBackAsNew) {
  World w(default_settings(), 4);
  w.serve = [](ReleaseVersion, EndpointIndex h) {
    return World::Outcome{h == 0 ? AttemptResult::kReset : AttemptResult::kOk};
  };
  w.run(Span::s(2), 200);
  ASSERT_TRUE(w.sink.logged("endpoint 0 ejected for"));
  w.serve = [](ReleaseVersion, EndpointIndex) { return World::Outcome{}; };
  for (const EndpointState state : {EndpointState::kRemoved, EndpointState::kReady}) {
    w.router->begin_endpoint_update(false);
    w.router->update_endpoint({0, state, 1, 0, 0, 0, Instant()});
    w.router->end_endpoint_update();
  }
  const std::size_t from = w.sink.sent.size();
  w.run(Span::ms(300), 200);
  std::size_t there = 0;
  for (std::size_t i = from; i < w.sink.sent.size(); ++i) there += w.sink.sent[i].host == 0;
  EXPECT_GE(there, 5u);
}

TEST(Hosts, AColdHostGetsLessThanAWarmOne) {
  World w(default_settings(), 8);
  w.run(Span::s(2), 400);
  w.router->begin_endpoint_update(false);
  w.router->update_endpoint({0, EndpointState::kReady, 1, 0, 0, 0, w.now});
  w.router->end_endpoint_update();
  const std::size_t from = w.sink.sent.size();
  w.run(Span::s(1), 400);
  std::size_t cold = 0;
  for (std::size_t i = from; i < w.sink.sent.size(); ++i) cold += w.sink.sent[i].host == 0;
  EXPECT_LT(cold, 32u);  // 50 a second is a warm host's part
}

// What `routers` routers together send within a second to hosts that have all just come back, `per_s` hits
// coming to each, after `before` has happened to each.
template <class Before>
std::size_t sent_cold(const RouterSettings& terms, int per_s, Before&& before) {
  std::size_t cold = 0;
  for (unsigned router = 0; router < terms.router_count; ++router) {
    World w(terms, 8, 0, 100 + router);
    before(w);
    const std::size_t from = w.sink.sent.size();
    w.run(Span::s(1), per_s);
    cold += w.sink.sent.size() - from;
  }
  return cold;
}

// All hosts are listed as just started, after 3 s of so many hits a second.
auto listed_cold(int per_s) {
  return [per_s](World& w) {
    w.run(Span::s(3), per_s);
    w.router->begin_endpoint_update(false);
    for (EndpointIndex h = 0; h < 8; ++h)
      w.router->update_endpoint({h, EndpointState::kReady, 1, h % 2, h, 0, w.now});
    w.router->end_endpoint_update();
  };
}

TEST(Hosts, ManyRoutersTogetherSendAColdHostNoMoreThanItsPart) {
  RouterSettings terms = default_settings();
  terms.router_count = 200;
  const std::size_t cold = sent_cold(terms, 3, listed_cold(3));
  EXPECT_GT(cold, 0u);
  EXPECT_LT(cold, 500u);  // of 600 hits; one free hit for each router would let all of them through
}

// Demand far over what the fleet can do, by clients that come again: the customers' shares say what that is.
TEST(Hosts, ManyRoutersUnderAnyDemandSendColdHostsWhatTheyCanDo) {
  RouterSettings terms = default_settings();
  terms.router_count = 200;
  terms.tenant_quota_per_s = {400};                              // 50 a second for each of 8 hosts
  const std::size_t cold = sent_cold(terms, 9, listed_cold(9));  // of 1,800 hits
  EXPECT_GT(cold, 50u);
  EXPECT_LT(cold, 400u * 6 / 10);  // they grow from 0.33 to 0.5 within the second
}

// The list tells of a start late. A host seen dead, and a zone all of whose hosts are, may have started anew.
TEST(Hosts, AZoneThatWasSeenDeadIsColdWhenItComesBack) {
  RouterSettings terms = default_settings();
  terms.router_count = 200;
  terms.tenant_quota_per_s = {400};
  const auto lost_and_back = [](World& w) {
    w.run(Span::s(6), 9);
    w.serve = [](ReleaseVersion, EndpointIndex) {
      return World::Outcome{AttemptResult::kConnectFailed, Span::ms(5)};
    };
    w.run(Span::s(1), 9);
    w.serve = [](ReleaseVersion, EndpointIndex) { return World::Outcome{}; };
  };
  const std::size_t cold = sent_cold(terms, 9, lost_and_back);
  EXPECT_GT(cold, 50u);
  EXPECT_LT(cold, 400u * 6 / 10);
}

// A stage brings 16 cold hosts beside 4 warm ones of its build and 20 of the earlier one.
TEST(Hosts, ColdTrialHostsGetTheirLotsAndWarmOnesDoNotCarryThem) {
  RouterSettings terms = default_settings();
  terms.router_count = 200;
  terms.zone_count = 1;
  std::array<double, 3> sent{};  // 0: earlier, 1: warm, 2: cold
  for (unsigned router = 0; router < terms.router_count; ++router) {
    World w(terms, 20, 4, 100 + router);
    w.stage(2, 0, ReleasePhase::kCanary, 1);
    w.run(Span::s(6), 6);
    w.router->begin_endpoint_update(false);
    for (EndpointIndex h = 24; h < 40; ++h)
      w.router->update_endpoint({h, EndpointState::kReady, w.builds[h] = 2, 0, h, 0, w.now});
    w.router->end_endpoint_update();
    const std::size_t from = w.sink.sent.size();
    w.run(Span::s(1), 6);
    for (std::size_t i = from; i < w.sink.sent.size(); ++i) {
      const EndpointIndex h = w.sink.sent[i].host;
      ++sent[h < 20 ? 0 : h < 24 ? 1 : 2];
    }
  }
  const double earlier = sent[0] / 20;
  EXPECT_GT(sent[2] / 16, earlier * 0.33);  // they are able to do 0.33 to 0.5 of that
  EXPECT_LT(sent[2] / 16, earlier * 0.6);
  EXPECT_LT(sent[1] / 4, earlier * 1.2);
}

// A router that has just started knows of no start that the list does not tell yet.
TEST(Hosts, ManyRoutersJustStartedSendNoMoreThanColdHostsBear) {
  RouterSettings terms = default_settings();
  terms.router_count = 200;
  terms.tenant_quota_per_s = {400};
  const std::size_t cold = sent_cold(terms, 9, [](World&) {});
  EXPECT_GT(cold, 100u);
  EXPECT_LT(cold, 400u * 0.66);  // twice what 0.33 of them is
}

TEST(Judging, HitsThatFailAnywhereConvictNeitherHostNorBuild) {
  World w = on_trial(default_settings(), 0.4, 6, 5);
  for (int i = 0; i < 3000; ++i) {
    const bool bad = i % 3 == 0;
    const std::size_t from = w.sink.sent.size();
    const RequestId id = w.take();
    for (std::size_t s = from; s < w.sink.sent.size(); ++s) {
      if (w.sink.sent[s].hit == id) w.end(w.sink.sent[s], bad ? AttemptResult::kError : AttemptResult::kOk);
    }
    EXPECT_LE(w.sink.legs[id], 2u);  // two hosts have told
    w.now = w.now + Span::ms(5);
    w.beat();
  }
  EXPECT_FALSE(w.sink.voted(Vote::kAbort));
  EXPECT_FALSE(w.sink.logged("severe"));
}

TEST(Judging, ASlowBuildIsMetByOneOfManyRouters) {
  RouterSettings terms = default_settings();
  terms.router_count = 60;
  World w = on_trial(terms, 0.4, 12, 10);
  w.serve = [](ReleaseVersion b, EndpointIndex) {
    return Outcome{AttemptResult::kOk, Span::ms(b == 2 ? 130 : 50)};
  };
  w.run(Span::s(20), 20);
  EXPECT_TRUE(w.sink.voted(Vote::kAbort));
}

TEST(Hosts, AnUnheardZoneIsHeldNoBetterThanTheBest) {
  RouterSettings terms = default_settings();
  terms.router_count = 200;
  World w(terms, 8);  // odd hosts are of the other zone: they take hits and answer none
  w.serve = [](ReleaseVersion, EndpointIndex h) {
    return Outcome{AttemptResult::kOk, Span::ms(50), h % 2 == 1};
  };
  w.run(Span::s(20), 4);
  std::size_t lost = 0;
  for (const auto& s : w.sink.sent) lost += s.host % 2;
  EXPECT_LT(lost, w.sink.sent.size() / 4);
}

TEST(Judging, ManyJudgesAskForMoreEvidenceEach) {
  for (const unsigned routers : {2U, 200U}) {
    RouterSettings terms = default_settings();
    terms.router_count = routers;
    World w = on_trial(terms);
    w.router->on_outcome_sample({1, 0, 100, 8});
    w.router->on_outcome_sample({2, 0, 100, 23});
    w.run(Span::s(1), 5);
    EXPECT_EQ(w.sink.voted(Vote::kAbort), routers == 2);
  }
}

// Soon once, then spread over some seconds, and over more where it stays so: discovery works off calls that
// timed out as well. The list is not sent to past its validity meanwhile.
TEST(List, CallsThatFailSpreadOverMoreSecondsTheLongerTheyFailUntilAListComes) {
  RouterSettings terms = default_settings();
  terms.endpoint_poll_interval = Span::s(20);
  terms.must_watch_endpoints = true;
  World w(terms);
  for (int i = 0; i < 40; ++i) {
    w.router->on_endpoint_watch_failed();
    w.router->on_wakeup(2);
    EXPECT_EQ(w.sink.follows, i + 2u);
    const Span mean = i < 1 ? Span::ms(300) : i < 3 ? Span::s(3) : Span::s(6);
    EXPECT_GE(w.sink.wakes[2], mean * 0.5);
    EXPECT_LE(w.sink.wakes[2], mean * 1.5);
    w.stage(1, 2, ReleasePhase::kReleased, 1);  // news comes all the while, and is no list
  }
  w.list(8, 0);
  w.router->on_endpoint_watch_failed();
  EXPECT_LT(w.sink.wakes[2], Span::s(1));
}

TEST(List, PastItsValidityNothingIsSentButToHostsWhoseOwnAnswersVouchForThem) {
  World w(default_settings());
  w.list(3, 0);
  w.stage(1, 2, ReleasePhase::kReleased, 1);
  const Instant now = w.now;
  w.router->set_endpoint_list_validity({now + Span::s(1), Instant::never()});
  w.take();
  EXPECT_EQ(w.sink.sent.size(), 1U);
  w.router->set_endpoint_list_validity({now, Instant::never()});
  w.take();
  EXPECT_EQ(w.sink.sent.size(), 1U);
  EXPECT_EQ(w.sink.bounced.size(), 1U);  // at once
  w.router->extend_endpoint_validity(2, now + Span::s(1));
  w.take();
  ASSERT_EQ(w.sink.sent.size(), 2U);
  EXPECT_EQ(w.sink.sent.back().host, 2U);
  w.router->set_endpoint_list_validity({now, now});  // a line has begun: not even there
  w.take();
  EXPECT_EQ(w.sink.sent.size(), 2U);
}

// Half of the hosts, but small ones: on trial or not, they get what they do, not half, which would jam them.
TEST(Hosts, OneOfManyRoutersSendsSmallMachinesWhatTheyDo) {
  for (const ReleasePhase phase : {ReleasePhase::kCanary, ReleasePhase::kReleased}) {
    RouterSettings terms = default_settings();
    terms.router_count = 100, terms.machine_type_count = 2;
    World w(terms, 20);
    w.list(20, 20, Instant(), 1);
    w.stage(2, 1, phase, 1);
    w.serve = [](ReleaseVersion b, EndpointIndex) {
      return Outcome{AttemptResult::kOk, Span::ms(b == 1 ? 60 : 300)};
    };
    w.run(Span::s(40), 12);
    EXPECT_LT(4 * w.sent_to(2), w.sink.sent.size());
  }
}

// One of six trial hosts is near by, among ten of the earlier build: it gets what one of them gets.
TEST(Hosts, AFewTrialHostsNearByDoNotCarryThePartOfThoseFurtherOff) {
  RouterSettings terms = default_settings();
  terms.router_count = 100;
  terms.cross_zone_cost = 0.08;
  World w(terms, 20);
  w.run(Span::s(5), 12);
  w.router->begin_endpoint_update(false);
  for (EndpointIndex h = 20; h < 26; ++h)
    w.router->update_endpoint(
        {h, EndpointState::kReady, w.builds[h] = 2, h == 20 ? 0U : 1U, h, 0, Instant()});
  w.router->end_endpoint_update();
  w.stage(2, 1, ReleasePhase::kCanary, 1);
  w.run(Span::s(10), 12);
  const std::size_t from = w.sink.sent.size();
  w.run(Span::s(40), 12);
  EXPECT_LT(w.sent_to(2, from) * 6, w.sink.sent.size() - from);
}

// At the guess of the start, 100 ms, these hosts look three times too slow.
TEST(Judging, TheYardstickOfAllHostsIsWhatWasMetNotTheGuess) {
  World w(default_settings(), 20, 5);
  w.serve = [](ReleaseVersion, EndpointIndex) { return Outcome{AttemptResult::kOk, Span::ms(300)}; };
  w.run(Span::s(5), 8);
  w.stage(2, 0, ReleasePhase::kCanary, 0.1);
  w.run(Span::s(10), 8);
  EXPECT_FALSE(w.sink.logged("stepped back"));
}

}  // namespace
}  // namespace ashbeam
