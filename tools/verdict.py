"""
verdict
~~~~~~~

Runs all behave suites; failures that KNOWN-RED.txt lists do not fail the run.
"""

import argparse
import json
import os
import subprocess
import sys
import tempfile
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED_FILE = ROOT / "KNOWN-RED.txt"
#: Folder for the output of failed suites; ignored by git.
REPORT_FOLDER = ROOT / "reports"
#: Folders whose features each start their own processes, so that they can run concurrently.
SPLIT_FOLDERS = (ROOT / "packages" / "kingcupdyke-daemon", ROOT)
#: Folders whose features each put the machine under load, so that they run alone, after the others.
ALONE_FOLDERS = (ROOT / "crowds",)
#: Limit of suites that run concurrently.
MAX_CONCURRENT_SUITES = 3
SUITE_TIMEOUT_S = 1500


class CheckResult(NamedTuple):
    """The result of one scenario, formatter or linter."""

    name: str
    status: str
    seconds: float
    message: str


def find_suites(only: str | None) -> list[Path]:
    """Find the suites that may run beside each other; each is run by its own behave process.

    :param only: folder below the root whose suites are run; None for all
    :return: folders of features, and single features of the root
    """
    suites = []
    # Whole suites come first: they take longest.
    for folder in [*sorted((ROOT / "packages").iterdir()), ROOT / "platform"]:
        if folder not in SPLIT_FOLDERS and list((folder / "features").glob("*.feature")):
            suites.append(folder / "features")
    return choose_suites([*suites, *list_features(SPLIT_FOLDERS)], only)


def list_features(folders: Iterable[Path]) -> list[Path]:
    """:return: the single features of folders"""
    return [
        feature for folder in folders for feature in sorted((folder / "features").glob("*.feature"))
    ]


def choose_suites(suites: list[Path], only: str | None) -> list[Path]:
    """:return: the suites below a folder; all of them if none is given"""
    return [each for each in suites if only is None or each.is_relative_to(ROOT / only)]


def run_suite(suite: Path) -> list[CheckResult]:
    """Run one suite.

    :return: a result for each scenario; a failed result for the suite if behave timed out, reported
        no scenario, or failed without a failed scenario
    """
    name = str(suite.relative_to(ROOT))
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.json"
        command = [sys.executable, "-m", "behave", "--no-color", "-f", "json", "-o", str(report)]
        command += ["--no-summary", "-f", "progress", str(suite)]
        try:
            completed = subprocess.run(
                command, cwd=ROOT, capture_output=True, text=True, timeout=SUITE_TIMEOUT_S
            )
        except subprocess.TimeoutExpired:
            return [CheckResult(f"{name}: suite", "failed", SUITE_TIMEOUT_S, "timed out")]
        try:
            features = json.loads(report.read_text())
        except (OSError, ValueError):
            features = []
        results = [
            read_scenario(name, feature, element)
            for feature in features
            for element in feature.get("elements", [])
            if element["type"] != "background"
        ]
        failed = any(each.status != "passed" for each in results)
        if failed or completed.returncode:
            write_output(name, completed.stdout + completed.stderr)
        if not results or (completed.returncode and not failed):
            tail = (completed.stdout + completed.stderr)[-3000:]
            results.append(CheckResult(f"{name}: suite", "failed", 0.0, tail))
        return results


def write_output(suite: str, text: str) -> None:
    """Write the output of a failed suite to the folder of reports."""
    REPORT_FOLDER.mkdir(exist_ok=True)
    (REPORT_FOLDER / f"{suite.replace('/', '-')}.err").write_text(text)


def read_scenario(suite: str, feature: dict, element: dict) -> CheckResult:
    """:return: the result of a scenario in behave's JSON report"""
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
            # The JSON report has no message for exceptions other than AssertionError.
            text = text or f"{result['status']}: see {REPORT_FOLDER.name}/ for the exception"
            message += f"{step['keyword']} {step['name']}\n{text}\n"
    name = f"{path}: {element['name']}".strip()
    return CheckResult(name, element["status"], seconds, message)


def read_known_red() -> dict[str, str]:
    """:return: the lines of KNOWN-RED.txt by test; fields are separated by `` | ``"""
    lines = KNOWN_RED_FILE.read_text().splitlines()
    entries = [line for line in lines if line.strip() and not line.startswith("#")]
    return {line.split(" | ")[0].strip(): line for line in entries}


def run_check(name: str, command: list[str]) -> CheckResult:
    """:return: the result of a formatter or linter"""
    completed = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    status = "failed" if completed.returncode else "passed"
    return CheckResult(name, status, 0.0, (completed.stdout + completed.stderr)[-3000:])


def main() -> int:
    """:return: exit status: 0 if only known failures failed and something passed, else 1"""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", help="folder whose suites are run")
    parser.add_argument("--lint", action="store_true", help="run formatter and linter as well")
    arguments = parser.parse_args()
    results = []
    if arguments.lint:
        results.append(run_check("black", [sys.executable, "-m", "black", "--check", "-q", "."]))
        results.append(run_check("ruff", [sys.executable, "-m", "ruff", "check", "-q", "."]))
    suites = find_suites(arguments.only)
    with ThreadPoolExecutor(min(MAX_CONCURRENT_SUITES, os.cpu_count() or 1)) as pool:
        for suite_results in pool.map(run_suite, suites):
            results += suite_results
    for suite in choose_suites(list_features(ALONE_FOLDERS), arguments.only):
        results += run_suite(suite)
    return report_verdict(results)


def report_verdict(results: list[CheckResult]) -> int:
    """Print failures, the slowest scenarios, known failures and the totals.

    :return: the exit status
    """
    known = read_known_red()
    not_passed = [each for each in results if each.status != "passed"]
    known_failures = [each for each in not_passed if each.name in known]
    failed = [each for each in not_passed if each.name not in known]
    passed = [each for each in results if each.status == "passed"]
    for each in failed:
        print(f"FAILED {each.name}\n{each.message}")
    for each in sorted(results, key=lambda each: -each.seconds)[:5]:
        print(f"slow: {each.seconds:.1f} s {each.name}")
    for each in known_failures:
        print(f"known red: {known[each.name]}")
    for each in passed:
        if each.name in known:
            print(f"known red, passes now: {each.name}")
    print(f"{len(passed)} passed, {len(failed)} failed")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
