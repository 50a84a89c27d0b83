// The wire's odd cases: what is malformed is named, what is merely unknown is ignored.
#include "policy_fixture.hpp"
#include "simhost/fleet.hpp"
#include "terms/terms.hpp"

namespace ashbeam::simhost {
namespace {

const std::string kInfo =
    "grades.count=1\ngrades.0.effect=idempotent\ngrades.0.goalTimeMs=500.0\ngrades.0.deadlineMs=2000.0\n"
    "rules.drainGraceMs=1000.0\nrules.fallMs=1000.0\nrules.fallMultiple=2.0\nrules.startCapacity=0.33\n"
    "rules.warmAfterMs=4000.0\nfamilyInfo.mostShares=0.1,1.0\nfamilyInfo.spanMs=2000.0\n"
    "familyInfo.ballotTtlMs=6000.0\nsome.newKey=whatever\nzones=a,b\nallowed.maxAttempts=3\n";

struct Batch {
  Writer w;
  std::uint32_t records = 0;
  Writer& add(std::uint8_t code) {
    ++records;
    w.u8(code);
    return w;
  }
  Batch& select(std::uint32_t who) {
    add(15).u32(who);
    return *this;
  }
  Batch& start(const std::string& info = kInfo) {
    add(1).u64(42);
    w.u32(static_cast<std::uint32_t>(info.size()));
    for (const char c : info) w.u8(static_cast<std::uint8_t>(c));
    return *this;
  }
  Batch& list() {  // one ready host, in buffer 3
    add(14).u8(3);
    w.u32(1);
    w.address(0x0a124a071f93);
    w.u8(0);
    w.u32(0x42280000);  // build 42
    w.u8(0);
    w.u16(0);
    w.u8(1);
    w.u32(0x3f800000);
    w.f64(0);
    add(2).u8(1);
    w.u32(7);
    w.u8(3);
    return *this;
  }
  Batch& news() {
    add(11).u16(42);
    w.u8(1);
    w.u8(2);
    w.u8(0);
    w.u16(200);
    w.u32(0x3f800000);
    w.f64(5000);
    return *this;
  }
  Batch& hit(std::uint32_t id) {
    add(3).u32(id);
    w.u8(0);
    w.f64(3000);
    w.f64(0);
    w.u16(0);
    w.u64(0);
    w.u8(0);
    return *this;
  }
  std::vector<std::uint8_t> into(Fleet& fleet, double clock = 1000) const {
    Writer reply;
    fleet.handle(clock, records, w.bytes(), reply);
    return reply.bytes();
  }
};

std::string error_of(const Batch& batch) {
  Fleet fleet;
  try {
    batch.into(fleet);
  } catch (const std::runtime_error& e) {
    return e.what();
  }
  return "";
}

TEST(Wire, AHitIsForwardedUnderItsInstance) {
  Fleet fleet;
  Batch b;
  b.select(3).start().list().news().hit(0x5d3a91c4);
  const auto reply = b.into(fleet);
  const std::vector<std::uint8_t> speaking{14, 0, 0, 0, 3},
      forward{1, 0x5d, 0x3a, 0x91, 0xc4, 0x0a, 0x12, 0x4a, 7};
  EXPECT_TRUE(std::equal(speaking.begin(), speaking.end(), reply.begin()));
  EXPECT_NE(std::search(reply.begin(), reply.end(), forward.begin(), forward.end()), reply.end());
}

TEST(Wire, UnknownThingsAreIgnored) {
  Fleet fleet;
  Batch b;
  b.select(1).start().list();
  b.add(6).u32(99);  // an ended hit
  b.add(7).u64(77);  // an old timer
  b.add(8).u16(200);
  b.w.address(0x010203040506);  // an unknown host
  b.w.f64(1);
  b.w.u8(0);
  b.select(2).add(6).u32(1);  // an instance that never started
  EXPECT_NO_THROW(b.into(fleet));
}

TEST(Wire, HaltAndStartInOneBatch) {
  Fleet fleet;
  Batch b;
  b.select(1).start().list().add(10);
  b.start().list().news().hit(5);
  const auto reply = b.into(fleet);
  EXPECT_GT(reply.size(), 20u);
  Batch after;
  after.select(1).add(10);
  after.hit(6);  // nobody is left to take it
  EXPECT_TRUE(after.into(fleet).empty());
}

TEST(Wire, MalformedInputIsNamed) {
  Batch cut;
  cut.select(1).add(6).u16(1);
  EXPECT_NE(error_of(cut).find("cut short at byte"), std::string::npos);
  Batch code;
  code.select(1).add(99);
  EXPECT_NE(error_of(code).find("unknown event code 99"), std::string::npos);
  Batch nobody;
  nobody.add(10);
  EXPECT_NE(error_of(nobody).find("before any Select"), std::string::npos);
  Batch buffer;
  buffer.add(14).u8(16);
  EXPECT_NE(error_of(buffer).find("list buffer 16"), std::string::npos);
  Batch more;
  more.select(1).w.u8(0);
  EXPECT_NE(error_of(more).find("left over"), std::string::npos);
}

TEST(Wire, MissingOrBrokenTermsAreNamed) {
  Batch missing;
  missing.select(1).start("grades.count=1\n");
  EXPECT_NE(error_of(missing).find("'grades.0.effect' is missing"), std::string::npos);
  std::string broken = kInfo;
  broken.replace(broken.find("2000.0"), 6, "soon");
  Batch b;
  b.select(1).start(broken);
  EXPECT_NE(error_of(b).find("not a number"), std::string::npos);
}

TEST(Wire, InstancesShareNothing) {
  const auto alone = [](std::uint32_t who) {
    Fleet fleet;
    Batch b;
    b.select(who).start().list().news().hit(5);
    return b.into(fleet).size();
  };
  Fleet fleet;
  Batch both;
  both.select(1).start().list().news().hit(5);
  both.select(2).start().list().news().hit(5);
  EXPECT_EQ(both.into(fleet).size(), alone(1) + alone(2));
}

// A router that wrongly thinks itself one of few sends cold hosts what all together may.
TEST(Settings, CountsThatMakeNoSenseAreReadSafelyAndSaidOnce) {
  const auto read = [](const std::string& more, std::size_t said) {
    std::vector<std::string> doubts;
    const RouterSettings t = read_router_settings(SettingsMap(kInfo + more), &doubts);
    EXPECT_EQ(doubts.size(), said) << more;
    return t;
  };
  EXPECT_EQ(read("replicasOfMe=300\nmyNumber=299\nfamilyInfo.onVotes=118\n", 0).router_count, 300u);
  EXPECT_EQ(read("replicasOfMe=0\nmyNumber=7\n", 1).router_count, 8u);
  EXPECT_EQ(read("replicasOfMe=-3\n", 1).router_count, 1u);
  EXPECT_EQ(read("replicasOfMe=nan\nmyNumber=3\n", 1).router_count, 4u);
  EXPECT_EQ(read("replicasOfMe=3\nfamilyInfo.onVotes=118\nfamilyInfo.noesNeeded=45\n", 1).router_count, 118u);
  EXPECT_EQ(read("replicasOfMe=1e12\n", 1).router_count, 1u << 20);
  EXPECT_EQ(read("replicasOfMe=2\nfamilyInfo.callsPerS=0\n", 1).platform_calls_per_s, 1);
}

// Whoever is no customer of the settings has no share, and no other customer's.
TEST(Settings, ThereIsAPlaceWithoutAShareForWhoeverIsNoCustomer) {
  const std::string two = "parties.count=2\nparties.0.name=x\nparties.0.allowancePerS=9\nparties.1.name=y\n";
  EXPECT_EQ(read_router_settings(SettingsMap(kInfo + two)).tenant_quota_per_s,
            (std::vector<double>{9, 0, 0}));
  EXPECT_TRUE(
      read_router_settings(SettingsMap(kInfo + std::string("parties.count=0\n"))).tenant_quota_per_s.empty());
}

}  // namespace
}  // namespace ashbeam::simhost
