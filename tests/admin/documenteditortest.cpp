#include <filbertmount/admin/documenteditor.h>
#include <filbertmount/document/documentvalue.h>

#include "admin/fakestore.h"
#include "support/results.h"

#include <doctest/doctest.h>

using namespace Filbertmount;

namespace {

using WriteFault = FakeStore::WriteFault;

const std::string Key = "documents/shopfront";

DocumentEdit editFrom(Revision expected, const std::string &changeId, const std::string &text = "new")
{
    return {.service = ServiceName("shopfront"),
            .team = TeamName("riga-shop"),
            .author = "ilze",
            .text = text,
            .expected = expected,
            .changeId = changeId};
}

DocumentValue stored(FakeStore &store)
{
    const StoreReply reply = store.read(Key);
    REQUIRE(reply.outcome == StoreOutcome::Done);
    return requireValue([&]() {
        return decodeDocumentValue(reply.object.value, Key);
    });
}

EditReply apply(FakeStore &store, const DocumentEdit &edit)
{
    return DocumentEditor<FakeStore>(store).apply(edit);
}

struct LostResponseCase {
    const char *name;
    std::deque<WriteFault> faults;
    int failingReadBacks;
    EditOutcome outcome;
    /** Whether the change is in the store afterwards. */
    bool inStore;
};

} // namespace

static_assert(ObjectStore<FakeStore>);

TEST_CASE("a document is created, changed, deleted and created again with rising revisions")
{
    FakeStore store;
    const EditReply created = apply(store, editFrom(AbsentRevision, "c1"));
    REQUIRE(created.outcome == EditOutcome::Accepted);
    const EditReply changed = apply(store, editFrom(created.revision, "c2", "newer"));
    REQUIRE(changed.outcome == EditOutcome::Accepted);
    CHECK(changed.value == store.read(Key).object.value);

    DocumentEdit removal = editFrom(changed.revision, "c3", "");
    removal.deleted = true;
    const EditReply removed = apply(store, removal);
    REQUIRE(removed.outcome == EditOutcome::Accepted);
    CHECK(stored(store).deleted);
    removal.expected = removed.revision;
    CHECK(apply(store, removal).outcome == EditOutcome::NotFound);

    const EditReply again = apply(store, editFrom(AbsentRevision, "c4"));
    REQUIRE(again.outcome == EditOutcome::Accepted);
    CHECK(again.revision > removed.revision);
    const DocumentValue value = stored(store);
    REQUIRE(value.history.size() == 4);
    CHECK(value.history[1].predecessor == created.revision);
    CHECK(value.history[3].time == StoreTime{100});
}

// Guards against silent overwrites by edits that are based on an outdated revision or come from another team.
TEST_CASE("an edit of another revision or team has no effect")
{
    FakeStore store;
    const EditReply created = apply(store, editFrom(AbsentRevision, "c1"));
    const std::string before = store.read(Key).object.value;
    const EditReply stale = apply(store, editFrom(Revision(99), "c2"));
    CHECK(stale.outcome == EditOutcome::Conflict);
    CHECK(stale.revision == created.revision);
    CHECK(stale.author == "ilze");
    CHECK(apply(store, editFrom(AbsentRevision, "c3")).outcome == EditOutcome::Conflict);
    DocumentEdit foreign = editFrom(created.revision, "c4");
    foreign.team = TeamName("kaya");
    CHECK(apply(store, foreign).outcome == EditOutcome::Forbidden);
    CHECK(store.read(Key).object.value == before);
    CHECK(store.writes == 1);
}

TEST_CASE("of two concurrent edits, one is accepted and the other gets a conflict with the newer revision")
{
    FakeStore store;
    const EditReply created = apply(store, editFrom(AbsentRevision, "c1"));
    EditReply winner;
    store.beforeWrite = [&]() {
        winner = apply(store, editFrom(created.revision, "winner", "of the winner"));
    };
    const EditReply loser = apply(store, editFrom(created.revision, "loser"));
    REQUIRE(winner.outcome == EditOutcome::Accepted);
    CHECK(loser.outcome == EditOutcome::Conflict);
    CHECK(loser.revision == winner.revision);
    CHECK(stored(store).document == "of the winner");
}

// Guards against a change that took effect being reported as lost, and against a lost change being reported as accepted.
TEST_CASE("writes whose responses are lost are resolved by reading back")
{
    const std::vector<LostResponseCase> cases{
        {"took effect", {WriteFault::ResponseLost}, 0, EditOutcome::Accepted, true},
        {"had no effect and is written again", {WriteFault::RequestLost}, 0, EditOutcome::Accepted, true},
        {"takes effect late, before the second write", {WriteFault::Delayed}, 0, EditOutcome::Accepted, true},
        {"all responses lost", {WriteFault::ResponseLost, WriteFault::ResponseLost}, 0, EditOutcome::Accepted, true},
        {"the first read back fails", {WriteFault::ResponseLost}, 1, EditOutcome::Accepted, true},
        {"no read back succeeds", {5, WriteFault::ResponseLost}, 5, EditOutcome::Unknown, true},
        {"no write arrives", {5, WriteFault::RequestLost}, 0, EditOutcome::Unknown, false},
        {"refused", {WriteFault::Refused}, 0, EditOutcome::Unavailable, false},
        {"refused after a lost response", {WriteFault::RequestLost, WriteFault::Refused}, 0, EditOutcome::Accepted, true},
        {"refused for long after a lost response",
         {WriteFault::RequestLost, WriteFault::Refused, WriteFault::Refused, WriteFault::Refused, WriteFault::Refused},
         0,
         EditOutcome::Unknown,
         false},
    };
    for (const LostResponseCase &expected : cases) {
        CAPTURE(expected.name);
        FakeStore store;
        const EditReply created = apply(store, editFrom(AbsentRevision, "c1"));
        store.writeFaults = expected.faults;
        store.beforeWrite = [&]() {
            store.failingReads = expected.failingReadBacks;
        };
        const EditReply reply = apply(store, editFrom(created.revision, "c2"));
        CHECK(reply.outcome == expected.outcome);
        store.failingReads = 0;
        CHECK((stored(store).changeId == "c2") == expected.inStore);
        if (reply.outcome == EditOutcome::Accepted) {
            CHECK(reply.revision == store.read(Key).object.revision);
        }
    }
}

TEST_CASE("a lost response is found in the history when another edit followed")
{
    FakeStore store;
    const EditReply created = apply(store, editFrom(AbsentRevision, "c1"));
    store.writeFaults = {WriteFault::ResponseLost};
    store.runBeforeReadBack([&]() {
        const Revision current = store.read(Key).object.revision;
        REQUIRE(apply(store, editFrom(current, "next")).outcome == EditOutcome::Accepted);
    });
    const EditReply reply = apply(store, editFrom(created.revision, "c2"));
    CHECK(reply.outcome == EditOutcome::Accepted);
    CHECK(reply.revision == Revision(2));
    CHECK(reply.value.empty());
    CHECK(stored(store).changeId == "next");
}

TEST_CASE("a lost write is a conflict if another edit was accepted in the meantime")
{
    FakeStore store;
    const EditReply created = apply(store, editFrom(AbsentRevision, "c1"));
    store.writeFaults = {WriteFault::RequestLost};
    store.runBeforeReadBack([&]() {
        REQUIRE(apply(store, editFrom(created.revision, "other")).outcome == EditOutcome::Accepted);
    });
    const EditReply reply = apply(store, editFrom(created.revision, "c2"));
    CHECK(reply.outcome == EditOutcome::Conflict);
    CHECK(reply.revision == Revision(2));
}

TEST_CASE("a store that is down or holds no document value refuses the edit")
{
    FakeStore store;
    store.failingReads = 1;
    const EditReply down = apply(store, editFrom(AbsentRevision, "c1"));
    CHECK(down.outcome == EditOutcome::Unavailable);
    CHECK(down.reason == "store-read: fake: down");

    store.write(Key, "{\"not\":\"a document\"}", AbsentRevision);
    const EditReply damaged = apply(store, editFrom(Revision(1), "c1"));
    CHECK(damaged.outcome == EditOutcome::Damaged);
    CHECK(store.read(Key).object.revision == Revision(1));
}
