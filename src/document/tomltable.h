#pragma once

#include <filbertmount/document/configissue.h>
#include <filbertmount/types/failure.h>
#include <filbertmount/types/instant.h>

// Parse errors are returned, so that they get the same form as all other errors.
#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>

#include <functional>
#include <initializer_list>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Filbertmount {

/** Collects the errors of one file. */
class IssueCollector
{
public:
    explicit IssueCollector(std::string file);

    void add(std::uint32_t line, std::string key, std::string problem);
    [[nodiscard]] bool empty() const;
    [[nodiscard]] const std::string &file() const;
    /** Returns a Failure that lists all errors, accompanied by ConfigIssues. */
    [[nodiscard]] boost::leaf::error_id failure(Step step) const;

private:
    std::string m_file;
    ConfigIssues m_issues;
};

/** Parses TOML text; adds an error and returns an empty table if the text is not TOML. */
toml::table parseToml(std::string_view text, IssueCollector &issues);

/** Inclusive range of a number. */
template<class T>
struct Range {
    T lowest;
    T highest;
};

/** Returns an empty string for an acceptable value, otherwise what was expected. */
using StringCheck = std::function<std::string(const std::string &)>;

/**
 * Reads and checks the keys of one TOML table.
 * Each read function returns whether the key is present and valid; otherwise the target keeps its value.
 * A wrong value is added to the collector with its line and key.
 */
class TomlTable
{
public:
    /** @param path prefix of the keys in errors, such as "upstreams."; empty for the root */
    TomlTable(const toml::table &table, std::string path, IssueCollector &issues);

    bool readString(std::string_view key, std::string &target, const StringCheck &check = {});
    bool readStringArray(std::string_view key, std::vector<std::string> &target, const StringCheck &check);
    bool readBool(std::string_view key, bool &target);
    bool readInteger(std::string_view key, std::int64_t &target, Range<std::int64_t> range);
    bool readInteger(std::string_view key, int &target, Range<int> range);
    bool readNumber(std::string_view key, double &target, Range<double> range);
    bool readDuration(std::string_view key, Duration &target, Range<Duration> range);

    template<class T>
    bool readChoice(std::string_view key, T &target, std::initializer_list<std::pair<std::string_view, T>> choices);

    /** Calls @p read with the table under @p key if there is one, then reports the keys that were not read. */
    bool readTable(std::string_view key, const std::function<void(TomlTable &)> &read);
    /** Calls @p read for each table of the array under @p key, then reports the keys that were not read. */
    bool readTableArray(std::string_view key, const std::function<void(TomlTable &)> &read);
    /** Calls @p read for each entry of the array under @p key, with the entry's key in errors. */
    bool readArray(std::string_view key, const std::function<void(const toml::node &, const std::string &)> &read);

    [[nodiscard]] bool has(std::string_view key) const;
    /** Reports that the key is missing and what it should hold. */
    void requireKey(std::string_view key, const std::string &expected);
    /** Reports an error at the key's line, or at the table's line if the key is not there. */
    void report(std::string_view key, std::string problem);
    void reportUnknownKeys();
    [[nodiscard]] std::string keyPath(std::string_view key) const;
    [[nodiscard]] IssueCollector &issues() const;

private:
    const toml::node *findKey(std::string_view key);
    void reportType(std::string_view key, const toml::node &node, const std::string &expected);

    const toml::table *m_table;
    std::string m_keyPrefix;
    IssueCollector *m_issues;
    std::set<std::string, std::less<>> m_knownKeys;
};

/** Parses "250ms", "2s", "5m", "24h" or "100us". */
std::optional<Duration> parseDuration(const std::string &text);
/** Returns the shortest text that parseDuration reads back, such as "250ms". */
std::string durationText(Duration duration);

template<class T>
bool TomlTable::readChoice(std::string_view key, T &target, std::initializer_list<std::pair<std::string_view, T>> choices)
{
    std::string text;
    if (!readString(key, text)) {
        return false;
    }
    std::string names;
    for (const auto &choice : choices) {
        if (choice.first == text) {
            target = choice.second;
            return true;
        }
        names.append(names.empty() ? "\"" : " or \"").append(choice.first).append("\"");
    }
    report(key, "expected " + names + ", found \"" + text + "\"");
    return false;
}

} // namespace Filbertmount
