"""
verdict
~~~~~~~

Runs every behave suite and prints one verdict, passing over what KNOWN-RED.txt lists.
"""

import argparse
import json
import os
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
#: Folder for the output of failed suites; not committed.
REPORTS = ROOT / "reports"
#: Suites that run beside each other.
MOST_AT_ONCE = 3
SUITE_TIMEOUT_S = 1500


class CaseResult(NamedTuple):
    """One scenario and how it ended."""

    name: str
    status: str
    seconds: float
    message: str


def find_suites(only: str | None) -> list[Path]:
    """:return: folders of features to run together, and features with a site of their own"""
    folders = [*sorted((ROOT / "packages").iterdir()), ROOT / "platform", ROOT]
    suites = [each / "features" for each in folders if list((each / "features").glob("*.feature"))]
    if suites and suites[-1].parent == ROOT:
        # Each of these features has a site of its own.
        suites[-1:] = sorted(suites[-1].glob("*.feature"))
    return [each for each in suites if only is None or each.is_relative_to(ROOT / only)]


def run_suite(suite: Path) -> list[CaseResult]:
    """:return: a result for each scenario; one failed result when the suite did not run"""
    name = str(suite.relative_to(ROOT))
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.json"
        command = [sys.executable, "-m", "behave", "--no-color", "-f", "json", "-o", str(report)]
        command += ["--no-summary", "-f", "progress", str(suite)]
        try:
            done = subprocess.run(
                command, cwd=ROOT, capture_output=True, text=True, timeout=SUITE_TIMEOUT_S
            )
        except subprocess.TimeoutExpired:
            return [CaseResult(f"{name}: suite", "failed", SUITE_TIMEOUT_S, "timed out")]
        try:
            features = json.loads(report.read_text())
        except (OSError, ValueError):
            features = []
        results = [
            read_case(name, feature, element)
            for feature in features
            for element in feature.get("elements", [])
            if element["type"] != "background"
        ]
        failed = any(each.status != "passed" for each in results)
        if failed or done.returncode:
            keep_output(name, done.stdout + done.stderr)
        if not results or (done.returncode and not failed):
            tail = (done.stdout + done.stderr)[-3000:]
            results.append(CaseResult(f"{name}: suite", "failed", 0.0, tail))
        return results


def keep_output(suite: str, text: str) -> None:
    """Keep what the processes of a failed suite wrote."""
    REPORTS.mkdir(exist_ok=True)
    (REPORTS / f"{suite.replace('/', '-')}.err").write_text(text)


def read_case(suite: str, feature: dict, element: dict) -> CaseResult:
    """:return: the result of one scenario of behave's JSON report"""
    folder = suite if not suite.endswith(".feature") else str(Path(suite).parent)
    path = f"{folder}/{Path(feature['location'].rsplit(':', 1)[0]).name}"
    message = ""
    seconds = 0.0
    for step in element.get("steps", []):
        result = step.get("result", {})
        seconds += result.get("duration", 0.0)
        if result.get("status") not in ("passed", "skipped", None):
            text = result.get("error_message", "")
            text = "\n".join(text) if isinstance(text, list) else text
            # The report leaves out what a step raised other than an assertion.
            text = text or f"{result['status']}: see {REPORTS.name}/ for what was raised"
            message += f"{step['keyword']} {step['name']}\n{text}\n"
    name = f"{path}: {element['name']}".strip()
    return CaseResult(name, element["status"], seconds, message)


def read_known_red() -> dict[str, str]:
    """:return: the entries of KNOWN-RED.txt by test; fields are parted by `` | ``"""
    lines = KNOWN_RED.read_text().splitlines()
    entries = [line for line in lines if line.strip() and not line.startswith("#")]
    return {line.split(" | ")[0].strip(): line for line in entries}


def run_check(name: str, command: list[str]) -> CaseResult:
    """:return: the result of a formatter or linter"""
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    status = "failed" if done.returncode else "passed"
    return CaseResult(name, status, 0.0, (done.stdout + done.stderr)[-3000:])


def main() -> int:
    """:return: 0 when all but known failures passed, else 1"""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", help="folder whose suites are run")
    parser.add_argument("--lint", action="store_true", help="run formatter and linter as well")
    arguments = parser.parse_args()
    results = []
    if arguments.lint:
        results.append(run_check("black", [sys.executable, "-m", "black", "--check", "-q", "."]))
        results.append(run_check("ruff", [sys.executable, "-m", "ruff", "check", "-q", "."]))
    suites = find_suites(arguments.only)
    with ThreadPoolExecutor(min(MOST_AT_ONCE, os.cpu_count() or 1)) as pool:
        for suite_results in pool.map(run_suite, suites):
            results += suite_results
    return report_verdict(results)


def report_verdict(results: list[CaseResult]) -> int:
    """Print failures, known failures and the closing line.

    :return: the exit status
    """
    known = read_known_red()
    bad = [each for each in results if each.status != "passed"]
    red = [each for each in bad if each.name in known]
    failed = [each for each in bad if each.name not in known]
    passed = [each for each in results if each.status == "passed"]
    for each in failed:
        print(f"FAILED {each.name}\n{each.message}")
    for each in sorted(results, key=lambda each: -each.seconds)[:5]:
        print(f"slow: {each.seconds:.1f} s {each.name}")
    for each in red:
        print(f"known red: {known[each.name]}")
    for each in passed:
        if each.name in known:
            print(f"known red, passes now: {each.name}")
    print(f"{len(passed)} passed, {len(failed)} failed")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
