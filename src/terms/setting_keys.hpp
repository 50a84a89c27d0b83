// The keys of the deployment's settings, and the values of the settings that are enumerations. The deployment
// platform defines these texts, so they must not change. Only src/terms/ uses them; the rest of the program
// uses the fields of RouterSettings and WireSettings, where each setting is documented. A suffix gives the
// unit: Ms for milliseconds, PerS for a rate per second.
#pragma once

namespace ashbeam::setting_keys {

// Request classes: a list of objects, followed by the fields of each object.
constexpr const char* kRequestClasses = "grades";
constexpr const char* kClassIdempotency = "effect";
constexpr const char* kClassScope = "group";
constexpr const char* kClassLatencyObjectiveMs = "goalTimeMs";
constexpr const char* kClassClientTimeoutMs = "deadlineMs";
constexpr const char* kClassKeyRetentionMs = "memorySpanMs";
constexpr const char* kClassPriorityWeight = "worth";
constexpr const char* kClassLatePriorityWeight = "lateWorth";

// Tenants: a list of objects, followed by the field of each object.
constexpr const char* kTenants = "parties";
constexpr const char* kTenantQuotaPerS = "allowancePerS";
// A setting of the deployment, not of one tenant.
constexpr const char* kOverQuotaWeight = "overShareWorth";

// The field with the name of an object in a list, and the suffix of the key with the length of a list.
constexpr const char* kName = "name";
constexpr const char* kCount = "count";

// The fleet of routers, and the zone and index of this router.
constexpr const char* kZones = "zones";
constexpr const char* kMachineTypes = "kinds";
constexpr const char* kZone = "zone";
constexpr const char* kRouterCount = "replicasOfMe";
constexpr const char* kRouterIndex = "myNumber";
constexpr const char* kLoadReportColumns = "stats.columns";

// What the deployment platform permits the router to do.
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

// Votes of the routers on releases, and the outcome samples that the votes are based on.
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

// Values of kClassIdempotency.
constexpr const char* kIdempotent = "idempotent";
constexpr const char* kKeyed = "deduplicated";
constexpr const char* kUnsafe = "at_most_once";
// Values of kClassScope.
constexpr const char* kScopeAll = "all";
constexpr const char* kScopeZone = "zone";
constexpr const char* kScopeCell = "cell";
// Values of kDiscoveryMode.
constexpr const char* kDiscoveryAutomatic = "automatic";
constexpr const char* kDiscoverySubscribe = "subscribe";
// Values of kExposureCounting.
constexpr const char* kCountedTogether = "all";
constexpr const char* kCountedPerClass = "per_lane";
// Values of kPromotedBy. Each value but kPromotedByClock means that the routers' votes promote a release.
constexpr const char* kPromotedBySingleVote = "single";
constexpr const char* kPromotedByClock = "clocked";
// Values of kReleaseStyle.
constexpr const char* kSideBySide = "side_by_side";
constexpr const char* kRolling = "rolling";

}  // namespace ashbeam::setting_values
