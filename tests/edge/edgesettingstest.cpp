#include <filbertmount/edge/edgesettings.h>

#include <boost/leaf/handle_errors.hpp>
#include <doctest/doctest.h>

using namespace Filbertmount;

namespace {

const std::string Valid = R"([instance]
name = "edge-1"
zone = "riga-a"
region = "lv-riga"
ip = "10.0.0.1"
[listen]
callers = "10.0.0.1:8080"
readiness = "10.0.0.1:8081"
peer_port = 7000
metrics_port = 7001
[store]
address = "10.0.0.9:90"
[fleet]
seeds = ["10.0.0.1:8146", "10.0.0.2:8146"]
[shutdown]
grace_s = 6
[retries]
share = 0.2
extra = 58
window_s = 10
[limits]
descriptors = 4100
processors = 0.2
[routing]
own_zone_advantage = 1.5
)";

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

std::string errorOf(const std::string &text)
{
    return boost::leaf::try_handle_all(
        [&]() -> Result<std::string> {
            BOOST_LEAF_CHECK(parseEdgeSettings(text, "node.toml"));
            return std::string();
        },
        [](const Failure &failure) {
            return describe(failure);
        },
        [] {
            return std::string("unknown");
        });
}

} // namespace

TEST_CASE("edge settings: valid settings are read")
{
    const EdgeSettings settings = parseEdgeSettings(Valid, "node.toml").value();
    CHECK(settings.zone == AvailabilityZone("riga-a"));
    CHECK(settings.callers.port == 8080);
    CHECK(settings.seeds == std::vector<std::string>{"10.0.0.1", "10.0.0.2"});
    CHECK(settings.shutdownGrace == std::chrono::seconds(6));
    CHECK(settings.retries.extra == 58);
    CHECK(settings.processors == 0.2);
    CHECK(settings.ownZoneAdvantage == 1.5);
}

TEST_CASE("edge settings: quotas, warm-up and zones are off unless their sections are present")
{
    const EdgeSettings without = parseEdgeSettings(Valid, "node.toml").value();
    CHECK_FALSE(without.quotas);
    CHECK_FALSE(without.warmup);
    CHECK_FALSE(without.zones.evacuations);
    CHECK_FALSE(without.zones.crossingMsPerKilobyte);

    const std::string sections = R"([quotas]
window_s = 5
overshoot = 0.1
slack = 20
[warmup]
overshoot = 1.5
slack = 8
[zones]
evacuations = true
crossing_ms_per_kb = 0.5
zone = [{ name = "riga-a", region = "lv-riga" }]
)";
    const EdgeSettings with = parseEdgeSettings(Valid + sections, "node.toml").value();
    CHECK(with.quotas.value().window == std::chrono::seconds(5));
    CHECK(with.quotas.value().overshoot == 0.1);
    CHECK(with.quotas.value().slack == 20);
    CHECK(with.warmup.value().overshoot == 1.5);
    CHECK(with.zones.evacuations);
    CHECK(with.zones.crossingMsPerKilobyte.value() == 0.5);
    CHECK(with.zones.regions.at(AvailabilityZone("riga-a")) == Region("lv-riga"));
}

TEST_CASE("edge settings: an error names the missing, invalid or unknown key")
{
    struct Row {
        const char *from;
        const char *to;
        const char *key;
    };
    for (const Row &row : {Row{"name = \"edge-1\"\n", "", "instance.name"},
                           Row{"\"10.0.0.1:8080\"", "\"shop.example:8080\"", "listen.callers"},
                           Row{"peer_port = 7000\n", "", "listen.peer_port"},
                           Row{"metrics_port = 7001", "metrics_port = 0", "listen.metrics_port"},
                           Row{"\"10.0.0.9:90\"", "\"\"", "store.address"},
                           Row{"grace_s = 6", "grace_s = \"6\"", "shutdown.grace_s"},
                           Row{"share = 0.2\n", "", "retries.share"},
                           Row{"processors = 0.2", "processors = 0", "limits.processors"},
                           Row{"own_zone_advantage = 1.5", "own_zone_advantage = 0.5", "routing.own_zone_advantage"},
                           Row{"[routing]\n", "[quotas]\nwindow_s = 0\n[routing]\n", "quotas.window_s"},
                           Row{"[routing]\n", "[warmup]\novershoot = 0.5\n[routing]\n", "warmup.overshoot"},
                           Row{"[routing]\n", "[zones]\nevacuations = 1\n[routing]\n", "zones.evacuations"},
                           Row{"[limits]\n", "[limits]\nfoo = 1\n", "limits.foo"},
                           Row{"[store]\naddress = \"10.0.0.9:90\"\n", "", "store"}}) {
        CAPTURE(row.key);
        const std::string error = errorOf(replaced(Valid, row.from, row.to));
        CHECK(error.find(row.key) != std::string::npos);
    }
}
