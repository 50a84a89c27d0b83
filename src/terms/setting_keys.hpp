// The keys of the deployment's settings, and the words that some of their values are. They are wire names,
// which stand in src/terms/ alone; the rest of the program uses the terms on their left.
#pragma once

namespace ashbeam::setting_keys {

// Request classes: a list of objects, keys of each below.
constexpr const char* kRequestClasses = "grades";
constexpr const char* kClassIdempotency = "effect";
constexpr const char* kClassScope = "group";
constexpr const char* kClassLatencyObjectiveMs = "goalTimeMs";
constexpr const char* kClassClientTimeoutMs = "deadlineMs";
constexpr const char* kClassKeyRetentionMs = "memorySpanMs";
constexpr const char* kClassPriorityWeight = "worth";
constexpr const char* kClassLatePriorityWeight = "lateWorth";

// Tenants: a list of objects, keys of each below.
constexpr const char* kTenants = "parties";
constexpr const char* kTenantQuotaPerS = "allowancePerS";
constexpr const char* kOverQuotaWeight = "overShareWorth";

// Of an item of a list of objects: its name; of the list: the number of its items.
constexpr const char* kName = "name";
constexpr const char* kCount = "count";

// The fleet and this router's place in it.
constexpr const char* kZones = "zones";
constexpr const char* kMachineTypes = "kinds";
constexpr const char* kZone = "zone";
constexpr const char* kRouterCount = "replicasOfMe";
constexpr const char* kRouterIndex = "myNumber";
constexpr const char* kLoadReportColumns = "stats.columns";

// What the platform allows.
constexpr const char* kDiscoveryMode = "discovery";
constexpr const char* kMayCancel = "allowed.cancel";
constexpr const char* kMayHedge = "allowed.secondCopies";
constexpr const char* kMaySendRetryAfter = "allowed.retryAfter";
constexpr const char* kMaxRetryAfterMs = "allowed.maxRetryAfterMs";
constexpr const char* kMaxAttempts = "allowed.maxAttempts";
constexpr const char* kConnectTimeoutMs = "allowed.connectTimeoutMs";
constexpr const char* kEndpointIdleTimeoutMs = "allowed.connIdleMs";

// Endpoints.
constexpr const char* kDrainGraceMs = "rules.drainGraceMs";
constexpr const char* kEndpointPollIntervalMs = "rules.askWithinMs";
constexpr const char* kSlowStartWindowMs = "rules.fallMs";
constexpr const char* kOverloadMultiple = "rules.fallMultiple";
constexpr const char* kInitialCapacity = "rules.startCapacity";
constexpr const char* kSlowStartDurationMs = "rules.warmAfterMs";
constexpr const char* kClockTickMs = "tickMs";
constexpr const char* kCrossZoneCost = "prices.crossZone";
constexpr const char* kHealthCheckCost = "prices.probe";

// Releases.
constexpr const char* kExposureCaps = "familyInfo.mostShares";
constexpr const char* kStageFractions = "familyInfo.rings";
constexpr const char* kExposureCounting = "familyInfo.counts";
constexpr const char* kStickyKeys = "familyInfo.forwardOnly";
constexpr const char* kPromotedBy = "familyInfo.decidedBy";
constexpr const char* kReleaseStyle = "familyInfo.style";
constexpr const char* kIdempotentOnlyStages = "familyInfo.closedStages";
constexpr const char* kExposureAllowance = "familyInfo.spareTries";
constexpr const char* kExposureWindowMs = "familyInfo.spanMs";

// Votes and evidence.
constexpr const char* kVoteTtlMs = "familyInfo.ballotTtlMs";
constexpr const char* kBakeTimeMs = "familyInfo.bakeMs";
constexpr const char* kSampleIntervalMs = "familyInfo.tallyEveryMs";
constexpr const char* kVoteAnswerTimeoutMs = "familyInfo.answerWaitMs";
constexpr const char* kPromoteVotesNeeded = "familyInfo.onVotes";
constexpr const char* kAbortVotesNeeded = "familyInfo.noesNeeded";
constexpr const char* kPlatformCallsPerS = "familyInfo.callsPerS";
constexpr const char* kDisputeReportFraction = "familyInfo.reportedShare";
constexpr const char* kOutcomeSampleFraction = "familyInfo.tallySample";

}  // namespace ashbeam::setting_keys

namespace ashbeam::setting_values {

// kClassIdempotency
constexpr const char* kIdempotent = "idempotent";
constexpr const char* kKeyed = "deduplicated";
constexpr const char* kUnsafe = "at_most_once";
// kClassScope
constexpr const char* kScopeAll = "all";
constexpr const char* kScopeZone = "zone";
constexpr const char* kScopeCell = "cell";
// kDiscoveryMode
constexpr const char* kDiscoveryAutomatic = "automatic";
constexpr const char* kDiscoverySubscribe = "subscribe";
// kExposureCounting
constexpr const char* kCountedTogether = "all";
constexpr const char* kCountedPerClass = "per_lane";
// kPromotedBy
constexpr const char* kPromotedBySingleVote = "single";
constexpr const char* kPromotedByClock = "clocked";
// kReleaseStyle
constexpr const char* kSideBySide = "side_by_side";
constexpr const char* kRolling = "rolling";

}  // namespace ashbeam::setting_values
