use super::*;

#[test]
fn columns_are_as_wide_as_their_widest_cell() {
    let rows = [
        ["a".to_owned(), "x".to_owned()],
        ["long-name".to_owned(), String::new()],
    ];
    let text = render(["NAME", "KIND"], rows.into_iter());
    assert_eq!(text, "NAME       KIND\na          x\nlong-name\n");
}

#[test]
fn zero_is_shown_as_no_limit() {
    assert_eq!(limit(0), "none");
    assert_eq!(limit(7), "7");
    assert_eq!(or_dash(""), "-");
}
