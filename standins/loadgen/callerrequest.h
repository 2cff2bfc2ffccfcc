#pragma once

#include <filbertmount/types/instant.h>

#include <cstdint>
#include <string>

namespace Filbertmount::StandIn {

/** What the caller knows of one request after its last attempt. */
enum class CallerOutcome : std::uint8_t {
    Pending,
    /** A whole answer to the own request, or the word that an earlier attempt ran. */
    Answered,
    /** Told that it was not run, at the last attempt. */
    NotRun,
    /** Told that it may have run. */
    MayHaveRun,
    /** An error answer that says nothing about the run. */
    ServerError,
    /** No answer at all. */
    NoAnswer,
    /** An answer that belongs to another request, or that was cut short without a sign. */
    WrongAnswer,
};

/** One request of a caller over all of its attempts. */
struct CallerRequest {
    std::string id;
    bool order = false;
    /** Latencies count from here, so that a late send is not hidden. */
    Instant due;
    Instant ended;
    int attempts = 0;
    CallerOutcome outcome = CallerOutcome::Pending;
    int lastStatus = 0;
    /** Whether every attempt so far was answered with "not run". */
    bool alwaysNotRun = true;
};

/** Returns whether @p body is the whole answer of the stand-in upstream to request @p id. */
bool isWholeAnswer(const std::string &body, const std::string &id, std::size_t expectedBytes);

/** The parts of an answer that decide what the caller knows. */
struct AnswerSummary {
    /** Whether the transfer ended without an error of the connection or the framing. */
    bool transferred = false;
    int status = 0;
    /** Value of Filbertmount-Run; empty when absent. */
    std::string run;
    bool whole = false;
};

CallerOutcome judgeAnswer(const AnswerSummary &answer);

/** Returns whether the caller sends again after @p outcome. */
bool sendsAgain(const CallerRequest &request, CallerOutcome outcome, int resends);

} // namespace Filbertmount::StandIn
