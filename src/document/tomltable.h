#pragma once

#include <filbertmount/document/configissue.h>
#include <filbertmount/types/failure.h>
#include <filbertmount/types/instant.h>

// toml++ returns parse errors instead of throwing them, so that they are reported like all other errors.
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

/** Parses TOML text. Adds an error and returns an empty table if the text is not valid TOML. */
toml::table parseToml(std::string_view text, IssueCollector &issues);

/** Inclusive range of a number. */
template<class T>
struct Range {
    T lowest;
    T highest;
};

/** Returns an empty string if the value is valid, otherwise a description of the expected value. */
using StringCheck = std::function<std::string(const std::string &)>;

/**
 * Reads and checks the keys of one TOML table.
 * Unless noted otherwise, a read function returns whether the key is present and valid, and leaves the target unchanged if not.
 * Errors are added to the collector with line and key.
 */
class TomlTable
{
public:
    /** @param keyPrefix prefix of the keys in error messages, such as "upstreams."; empty for the root */
    TomlTable(const toml::table &table, std::string keyPrefix, IssueCollector &issues);

    bool readString(std::string_view key, std::string &target, const StringCheck &check = {});
    /** Stores the valid strings of the array and reports the others. Returns whether the key holds an array. */
    bool readStringArray(std::string_view key, std::vector<std::string> &target, const StringCheck &check);
    bool readBool(std::string_view key, bool &target);
    bool readInteger(std::string_view key, std::int64_t &target, Range<std::int64_t> range);
    bool readInteger(std::string_view key, int &target, Range<int> range);
    bool readNumber(std::string_view key, double &target, Range<double> range);
    bool readDuration(std::string_view key, Duration &target, Range<Duration> range);

    template<class T>
    bool readChoice(std::string_view key, T &target, std::initializer_list<std::pair<std::string_view, T>> choices);

    /** Calls @p read with the table under @p key if it exists, then reports its unknown keys. */
    bool readTable(std::string_view key, const std::function<void(TomlTable &)> &read);
    /** Calls @p read for each table of the array under @p key and reports the unknown keys of each table. */
    bool readTableArray(std::string_view key, const std::function<void(TomlTable &)> &read);
    /** Calls @p read for each entry of the array under @p key, with the key of the entry in error messages. */
    bool readArray(std::string_view key, const std::function<void(const toml::node &, const std::string &)> &read);

    [[nodiscard]] bool has(std::string_view key) const;
    /** Reports an error if the key is missing. */
    void requireKey(std::string_view key, const std::string &expected);
    /** Reports an error at the line of the key, or at the line of the table if the key is missing. */
    void report(std::string_view key, std::string problem);
    /** Reports every key of the table that no read function and no requireKey() asked for. */
    void reportUnknownKeys();
    [[nodiscard]] std::string keyPath(std::string_view key) const;
    [[nodiscard]] IssueCollector &issues() const;

private:
    /** Returns the value of the key, null if it is missing, and records the key as known. */
    const toml::node *findKey(std::string_view key);
    void reportType(std::string_view key, const toml::node &node, const std::string &expected);

    const toml::table *m_table;
    std::string m_keyPrefix;
    IssueCollector *m_issues;
    std::set<std::string, std::less<>> m_knownKeys;
};

/** Parses a non-negative integer with the unit us, ms, s, m or h, such as "250ms". */
std::optional<Duration> parseDuration(const std::string &text);
/** Formats a duration in the largest unit that divides it, such as "250ms"; parseDuration() reads it back. */
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
