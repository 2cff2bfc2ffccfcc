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

# Larger units save no further time, and processors are idle while the last units finish.
MAX_LINES = 3000
DEFINITION = re.compile(
    r"^(?:template<[^>]*>\s*)?(?:(?:class|struct|enum class|enum|union|concept)\s+(?:\[\[\w+\]\]\s+)?(\w+)"
    r"|(?:namespace|using)\s+(\w+)\s*="
    r"|[\w:<>,&* \[\]]*?\b(\w+)\s*(?:\(|=|\{|;|\[))"
)
ALLOW_SOURCE_INCLUDE = "// NOLINT(bugprone-suspicious-include)"
MACRO = re.compile(r"^\s*#\s*define\s+(\w+)")


def defined_names(text):
    """Returns the names that a source defines for itself. Reads line by line and does not parse C++."""
    names = set()
    anonymous_depth = 0
    for line in text.splitlines():
        if macro := MACRO.match(line):
            names.add(macro.group(1))
        if line.startswith("BENCHMARK_MAIN("):
            names.add("main")
        if re.match(r"^namespace\s*\{", line):
            anonymous_depth += 1
        elif anonymous_depth and re.match(r"^\} // namespace$", line):
            anonymous_depth -= 1
        elif line.startswith((" ", "/")):
            continue
        elif anonymous_depth or line.startswith(("static ", "int main(")) or re.match(r"^(namespace|using) \w+ =", line):
            if match := DEFINITION.match(line):
                names.update(name for name in match.groups() if name)
    return names


def compile_options(commands, source):
    """Returns the directory, the compiler and the options that compile a source, without its input and output files."""
    entry = commands[str(source.resolve())]
    arguments = entry["command"].split()
    return entry["directory"], arguments[0], " ".join(arguments[1 : arguments.index("-o")])


def main():
    commands_file, output_dir = pathlib.Path(sys.argv[1]), pathlib.Path(sys.argv[2]).resolve()
    commands = {entry["file"]: entry for entry in json.loads(commands_file.read_text())}
    units = []
    for name in sys.argv[3:]:
        source = pathlib.Path(name)
        text = source.read_text()
        lines, names = text.count("\n"), defined_names(text)
        # Tests of different folders use namespaces that define the same names, so a unit holds tests of one folder only.
        options = (*compile_options(commands, source), source.parent if source.parts[0] == "tests" else None)
        for unit in units:
            if unit["options"] == options and unit["lines"] + lines <= MAX_LINES and not names & unit["names"]:
                break
        else:
            unit = {"options": options, "lines": 0, "names": set(), "sources": []}
            units.append(unit)
        unit["lines"] += lines
        unit["names"] |= names
        unit["sources"].append(source.resolve())
    output_dir.mkdir(parents=True, exist_ok=True)
    for stale in output_dir.glob("unit*.cpp"):
        stale.unlink()
    entries = []
    for number, unit in enumerate(units):
        path = output_dir / f"unit{number:03}.cpp"
        path.write_text("".join(f'#include "{source}" {ALLOW_SOURCE_INCLUDE}\n' for source in unit["sources"]))
        directory, compiler, options, _ = unit["options"]
        entries.append(
            {"directory": directory, "file": str(path), "command": f"{compiler} {options} -c {path}"}
        )
    (output_dir / "compile_commands.json").write_text(json.dumps(entries, indent=1))


if __name__ == "__main__":
    main()
