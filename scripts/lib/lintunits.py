#!/usr/bin/env python3
"""Writes the translation units that scripts/lint checks, each of which includes several sources.

Usage: lintunits.py COMMANDS OUTPUT_DIR SOURCE...

clang-tidy spends most of its time on the headers of libraries, so sources that compile with the same options are checked
together. Two sources that define the same name in an anonymous namespace, or share a macro, stay in separate units.
"""
import json
import pathlib
import re
import sys

# Larger units save no more time, but the last ones to finish keep few processors busy.
MAX_LINES = 3000
DEFINITION = re.compile(
    r"^(?:template<[^>]*>\s*)?(?:(?:class|struct|enum class|enum|union|concept)\s+(?:\[\[\w+\]\]\s+)?(\w+)"
    r"|(?:namespace|using)\s+(\w+)\s*="
    r"|[\w:<>,&* \[\]]*?\b(\w+)\s*(?:\(|=|\{|;|\[))"
)
INCLUDES_SOURCES = "// NOLINT(bugprone-suspicious-include)"
MACRO = re.compile(r"^\s*#\s*define\s+(\w+)")


def defined_names(text):
    """Names that a source defines for itself, as far as one line tells."""
    names = set()
    depth_of_anonymous = 0
    for line in text.splitlines():
        if macro := MACRO.match(line):
            names.add(macro.group(1))
        if line.startswith("BENCHMARK_MAIN("):
            names.add("main")
        if re.match(r"^namespace\s*\{", line):
            depth_of_anonymous += 1
        elif depth_of_anonymous and re.match(r"^\} // namespace$", line):
            depth_of_anonymous -= 1
        elif line.startswith((" ", "/")):
            continue
        elif depth_of_anonymous or line.startswith(("static ", "int main(")) or re.match(r"^(namespace|using) \w+ =", line):
            if match := DEFINITION.match(line):
                names.update(name for name in match.groups() if name)
    return names


def options_of(commands, source):
    """The compiler options of a source, without what names the source itself."""
    entry = commands[str(source.resolve())]
    words = entry["command"].split()
    return entry["directory"], words[0], " ".join(words[1 : words.index("-o")])


def main():
    commands_file, output = pathlib.Path(sys.argv[1]), pathlib.Path(sys.argv[2]).resolve()
    commands = {entry["file"]: entry for entry in json.loads(commands_file.read_text())}
    units = []
    for name in sys.argv[3:]:
        source = pathlib.Path(name)
        text = source.read_text()
        lines, names = text.count("\n"), defined_names(text)
        # Tests of different folders name the same things in namespaces that they use.
        options = (*options_of(commands, source), source.parent if source.parts[0] == "tests" else None)
        for unit in units:
            if unit["options"] == options and unit["lines"] + lines <= MAX_LINES and not names & unit["names"]:
                break
        else:
            unit = {"options": options, "lines": 0, "names": set(), "sources": []}
            units.append(unit)
        unit["lines"] += lines
        unit["names"] |= names
        unit["sources"].append(source.resolve())
    output.mkdir(parents=True, exist_ok=True)
    for old in output.glob("unit*.cpp"):
        old.unlink()
    entries = []
    for number, unit in enumerate(units):
        path = output / f"unit{number:03}.cpp"
        path.write_text("".join(f'#include "{source}" {INCLUDES_SOURCES}\n' for source in unit["sources"]))
        directory, compiler, options, _ = unit["options"]
        entries.append(
            {"directory": directory, "file": str(path), "command": f"{compiler} {options} -c {path}"}
        )
    (output / "compile_commands.json").write_text(json.dumps(entries, indent=1))


if __name__ == "__main__":
    main()
