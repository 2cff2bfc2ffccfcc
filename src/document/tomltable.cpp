#include "document/tomltable.h"

#include <array>
#include <charconv>
#include <sstream>

namespace Filbertmount {

namespace {

struct DurationUnit {
    std::string_view name;
    Duration length;
};

constexpr std::array<DurationUnit, 5> DurationUnits{{{"us", std::chrono::microseconds(1)},
                                                     {"ms", std::chrono::milliseconds(1)},
                                                     {"s", std::chrono::seconds(1)},
                                                     {"m", std::chrono::minutes(1)},
                                                     {"h", std::chrono::hours(1)}}};

// Longest duration that a file may contain, so that the product of number and unit fits into 64 bits.
constexpr Duration LongestDuration = std::chrono::hours(24 * 366);

template<class T>
std::string numberText(T value)
{
    std::ostringstream stream;
    stream << value;
    return stream.str();
}

std::string typeName(const toml::node &node)
{
    std::ostringstream stream;
    stream << node.type();
    return stream.str();
}

// Returns the key on a line that cannot be parsed as TOML, or an empty string if the line has none.
std::string keyOnLine(std::string_view text, std::uint32_t line)
{
    std::istringstream stream{std::string(text)};
    std::string content;
    for (std::uint32_t number = 0; number < line && std::getline(stream, content); ++number) { }
    const std::size_t equals = content.find('=');
    if (equals == std::string::npos) {
        return {};
    }
    const std::size_t first = content.find_first_not_of(" \t");
    const std::size_t last = content.find_last_not_of(" \t", equals == 0 ? 0 : equals - 1);
    return last == std::string::npos || first >= equals ? std::string() : content.substr(first, last - first + 1);
}

} // namespace

IssueCollector::IssueCollector(std::string file)
    : m_file(std::move(file))
{
}

void IssueCollector::add(std::uint32_t line, std::string key, std::string problem)
{
    m_issues.list.push_back({.file = m_file, .line = line, .key = std::move(key), .problem = std::move(problem)});
}

bool IssueCollector::empty() const
{
    return m_issues.list.empty();
}

const std::string &IssueCollector::file() const
{
    return m_file;
}

boost::leaf::error_id IssueCollector::failure(Step step) const
{
    return boost::leaf::new_error(Failure{.step = step, .peer = {}, .reason = describe(m_issues)}, m_issues);
}

toml::table parseToml(std::string_view text, IssueCollector &issues)
{
    toml::parse_result result = toml::parse(text, issues.file());
    if (result) {
        return std::move(result).table();
    }
    const toml::parse_error &error = result.error();
    const std::uint32_t line = error.source().begin.line;
    issues.add(line, keyOnLine(text, line), "not valid TOML: " + std::string(error.description()));
    return {};
}

TomlTable::TomlTable(const toml::table &table, std::string keyPrefix, IssueCollector &issues)
    : m_table(&table)
    , m_keyPrefix(std::move(keyPrefix))
    , m_issues(&issues)
{
}

const toml::node *TomlTable::findKey(std::string_view key)
{
    m_knownKeys.emplace(key);
    return m_table->get(key);
}

bool TomlTable::has(std::string_view key) const
{
    return m_table->contains(key);
}

std::string TomlTable::keyPath(std::string_view key) const
{
    return m_keyPrefix + std::string(key);
}

IssueCollector &TomlTable::issues() const
{
    return *m_issues;
}

void TomlTable::report(std::string_view key, std::string problem)
{
    const toml::node *node = m_table->get(key);
    const std::uint32_t line = (node != nullptr ? node->source() : m_table->source()).begin.line;
    m_issues->add(std::max(line, 1U), keyPath(key), std::move(problem));
}

void TomlTable::requireKey(std::string_view key, const std::string &expected)
{
    m_knownKeys.emplace(key);
    if (!has(key)) {
        report(key, "missing, expected " + expected);
    }
}

void TomlTable::reportType(std::string_view key, const toml::node &node, const std::string &expected)
{
    report(key, "expected " + expected + ", found " + typeName(node));
}

void TomlTable::reportUnknownKeys()
{
    for (const auto &[key, node] : *m_table) {
        if (m_knownKeys.find(key.str()) != m_knownKeys.end()) {
            continue;
        }
        std::string known;
        for (const std::string &name : m_knownKeys) {
            known.append(known.empty() ? "" : ", ").append(name);
        }
        m_issues->add(std::max(key.source().begin.line, 1U), keyPath(key.str()), "unknown key, expected one of: " + known);
    }
}

bool TomlTable::readString(std::string_view key, std::string &target, const StringCheck &check)
{
    const toml::node *node = findKey(key);
    if (node == nullptr) {
        return false;
    }
    const auto value = node->value_exact<std::string>();
    if (!value) {
        reportType(key, *node, "a string");
        return false;
    }
    const std::string expected = check ? check(*value) : std::string();
    if (!expected.empty()) {
        report(key, "expected " + expected + ", found \"" + *value + "\"");
        return false;
    }
    target = *value;
    return true;
}

bool TomlTable::readStringArray(std::string_view key, std::vector<std::string> &target, const StringCheck &check)
{
    std::vector<std::string> values;
    const bool present = readArray(key, [&](const toml::node &node, const std::string &path) {
        const auto value = node.value_exact<std::string>();
        const std::string expected = value ? check(*value) : "a string";
        if (!expected.empty()) {
            const std::string found = value ? "\"" + *value + "\"" : typeName(node);
            m_issues->add(node.source().begin.line, path, "expected " + expected + ", found " + found);
            return;
        }
        values.push_back(*value);
    });
    if (present) {
        target = std::move(values);
    }
    return present;
}

bool TomlTable::readBool(std::string_view key, bool &target)
{
    const toml::node *node = findKey(key);
    if (node == nullptr) {
        return false;
    }
    const auto value = node->value_exact<bool>();
    if (!value) {
        reportType(key, *node, "true or false");
        return false;
    }
    target = *value;
    return true;
}

bool TomlTable::readInteger(std::string_view key, std::int64_t &target, Range<std::int64_t> range)
{
    const toml::node *node = findKey(key);
    if (node == nullptr) {
        return false;
    }
    const std::string expected = "an integer from " + std::to_string(range.lowest) + " to " + std::to_string(range.highest);
    const auto value = node->value_exact<std::int64_t>();
    if (!value) {
        reportType(key, *node, expected);
        return false;
    }
    if (*value < range.lowest || *value > range.highest) {
        report(key, "expected " + expected + ", found " + std::to_string(*value));
        return false;
    }
    target = *value;
    return true;
}

bool TomlTable::readInteger(std::string_view key, int &target, Range<int> range)
{
    std::int64_t value = 0;
    if (!readInteger(key, value, Range<std::int64_t>{range.lowest, range.highest})) {
        return false;
    }
    target = static_cast<int>(value);
    return true;
}

bool TomlTable::readNumber(std::string_view key, double &target, Range<double> range)
{
    const toml::node *node = findKey(key);
    if (node == nullptr) {
        return false;
    }
    const std::string expected = "a number from " + numberText(range.lowest) + " to " + numberText(range.highest);
    if (!node->is_number()) {
        reportType(key, *node, expected);
        return false;
    }
    const double value = node->value<double>().value_or(range.highest + 1);
    // Negated, so that NaN, which TOML allows, is out of range as well.
    if (!(value >= range.lowest && value <= range.highest)) {
        report(key, "expected " + expected + ", found " + numberText(value));
        return false;
    }
    target = value;
    return true;
}

bool TomlTable::readDuration(std::string_view key, Duration &target, Range<Duration> range)
{
    const std::string expected =
        "a duration such as \"250ms\" from \"" + durationText(range.lowest) + "\" to \"" + durationText(range.highest) + "\"";
    const toml::node *node = findKey(key);
    if (node != nullptr && !node->is_string()) {
        reportType(key, *node, expected);
        return false;
    }
    std::string text;
    if (!readString(key, text)) {
        return false;
    }
    const std::optional<Duration> value = parseDuration(text);
    if (!value || *value < range.lowest || *value > range.highest) {
        report(key, "expected " + expected + ", found \"" + text + "\"");
        return false;
    }
    target = *value;
    return true;
}

bool TomlTable::readTable(std::string_view key, const std::function<void(TomlTable &)> &read)
{
    const toml::node *node = findKey(key);
    if (node == nullptr) {
        return false;
    }
    if (!node->is_table()) {
        reportType(key, *node, "a table");
        return false;
    }
    TomlTable table(*node->as_table(), keyPath(key) + ".", *m_issues);
    read(table);
    table.reportUnknownKeys();
    return true;
}

bool TomlTable::readTableArray(std::string_view key, const std::function<void(TomlTable &)> &read)
{
    return readArray(key, [&](const toml::node &node, const std::string &path) {
        if (!node.is_table()) {
            m_issues->add(node.source().begin.line, path, "expected a table, found " + typeName(node));
            return;
        }
        TomlTable table(*node.as_table(), path + ".", *m_issues);
        read(table);
        table.reportUnknownKeys();
    });
}

bool TomlTable::readArray(std::string_view key, const std::function<void(const toml::node &, const std::string &)> &read)
{
    const toml::node *node = findKey(key);
    if (node == nullptr) {
        return false;
    }
    const toml::array *array = node->as_array();
    if (array == nullptr) {
        reportType(key, *node, "an array");
        return false;
    }
    std::size_t number = 0;
    for (const toml::node &entry : *array) {
        ++number;
        read(entry, keyPath(key) + "[" + std::to_string(number) + "]");
    }
    return true;
}

std::optional<Duration> parseDuration(const std::string &text)
{
    std::int64_t number = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    if (parsed.ec != std::errc() || number < 0) {
        return std::nullopt;
    }
    const std::string_view unit(parsed.ptr, static_cast<std::size_t>(end - parsed.ptr));
    for (const DurationUnit &candidate : DurationUnits) {
        if (unit == candidate.name && number <= LongestDuration / candidate.length) {
            return number * candidate.length;
        }
    }
    return std::nullopt;
}

std::string durationText(Duration duration)
{
    if (duration == Duration::zero()) {
        return "0s";
    }
    for (auto unit = DurationUnits.rbegin(); unit != DurationUnits.rend(); ++unit) {
        if (duration % unit->length == Duration::zero()) {
            return std::to_string(duration / unit->length) + std::string(unit->name);
        }
    }
    return std::to_string(duration.count()) + "ns";
}

} // namespace Filbertmount
