"""Steps on pages that are generated from code and measurements."""

from behave import then, when

from acaciastand_lab.capacity import pages


@when("the capacity pages are generated")
def step_generate(context):
    context.pages = pages()


@then("they equal the pages in docs")
def step_equal(context):
    for page in context.pages:
        assert page.path.read_text(encoding="utf-8") == page.text, f"{page.path} is not current"
