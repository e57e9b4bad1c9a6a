"""Guards against example documents and settings that the programs refuse."""

import importlib.util
import pathlib

import pytest

from filbertreach.changes import check_changes
from filbertreach.ctl._records import now_utc
from filbertreach.document import digest_document, parse_document
from filbertreach.settings import load, load_text

_ROOT = pathlib.Path(__file__).parent.parent
_MODULE_SPEC = importlib.util.spec_from_file_location(
    "make_examples", _ROOT / "tools" / "make_examples.py"
)
make_examples = importlib.util.module_from_spec(_MODULE_SPEC)
_MODULE_SPEC.loader.exec_module(make_examples)


@pytest.mark.parametrize(
    ("deployment", "hosts", "leaves"), [("aquecer", 8, 106), ("consortium", 7, 108)]
)
def test_documents_and_settings_are_valid(deployment, hosts, leaves):
    folder = _ROOT / "examples" / deployment
    by_kind = {}
    for kind in ("trial", "production"):
        text = (folder / f"{kind}.ini").read_text(encoding="utf-8")
        assert text == make_examples.documents()[folder / f"{kind}.ini"]
        by_kind[kind] = parse_document(text=text, source=kind).unwrap()
        assert check_changes(by_kind[kind], now_utc()) == {}
    assert digest_document(by_kind["trial"]) == digest_document(by_kind["production"])
    assert (by_kind["trial"].trial, by_kind["production"].trial) == (
        "",
        by_kind["trial"].name,
    )
    services = by_kind["trial"].services_by_name.values()
    assert sum(len(service.leaf_by_id) for service in services) == leaves
    assert load(folder / "ctl.ini", "ctl").unwrap()["ctl"]["operator"] == "ana"
    settings_by_name = {
        name: text
        for name, text in make_examples.host_settings().items()
        if name.startswith(deployment)
    }
    assert len(settings_by_name) == 3 * hosts
    for name, text in settings_by_name.items():
        load_text(text=text, source=name, schema_name="settings").unwrap()


def test_a_workshop_application_queries_only_the_orders_of_its_workshop():
    text = (_ROOT / "examples" / "consortium" / "production.ini").read_text(encoding="utf-8")
    environment = parse_document(text=text).unwrap()
    workshops = [name for name in environment.clients_by_name if name != "consortium"]
    for application in environment.applications_by_name.values():
        for workshop in workshops:
            if application.may_query_shard(f"orders-{workshop}"):
                assert [name for name in workshops if application.may_query_for(name)] == [workshop]
                assert application.token_sha256
